package io.tarragonport.api.gateway

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.OrganisationId
import kotlin.time.Duration

/**
 * What this system tells a backend server about a request beside the caller's own headers.
 *
 * [remaining] is the time after which the server may stop, [urgency] the rank from 0 (first) to 9 at a model engine,
 * [resumeAfter] the event after which a stream goes on and [fetchFrom] the address of an engine that keeps the prompt.
 */
data class ForwardingMetadata(
    val server: BackendServerId,
    val remaining: Duration,
    val organisation: OrganisationId?,
    val urgency: Int?,
    val resumeAfter: String?,
    val fetchFrom: String? = null,
)
