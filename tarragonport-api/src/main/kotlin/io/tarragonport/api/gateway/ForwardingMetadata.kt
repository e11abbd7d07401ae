package io.tarragonport.api.gateway

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.OrganisationId
import kotlin.time.Duration

/**
 * Metadata that this system sends to a backend server in addition to the caller's own headers.
 *
 * [remaining] is the time until the deadline, after which the server may stop. [enginePriority] is the priority at a
 * model engine, from 0 (first) to 9. [resumeAfter] is the id of the event after which a stream is resumed. [fetchFrom]
 * is the address of an engine that has the prompt in its cache.
 */
data class ForwardingMetadata(
    val server: BackendServerId,
    val remaining: Duration,
    val organisation: OrganisationId?,
    val enginePriority: Int?,
    val resumeAfter: String?,
    val fetchFrom: String? = null,
)
