package io.tarragonport.api.gateway

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId
import kotlin.time.Duration

/**
 * Registration of a backend server.
 *
 * [address] is `ip:port`. A [leaving] server completes its requests in flight and receives no new ones; [leavesIn] is
 * the remaining time until it ends, if known. A [cheap] server can be reclaimed by the platform. [startedAtMs] is the
 * start of the process in milliseconds since the epoch: a restarted server may keep its id, but has lost its cache and
 * its requests. [coldFor] is the remaining time for which the server is cold and takes only a few requests a second;
 * null if it has not said so.
 */
data class RegisteredServer(
    val id: BackendServerId,
    val service: ServiceId,
    val address: String,
    val domain: FailureDomainId,
    val slots: Int,
    val leaving: Boolean,
    val cheap: Boolean,
    val leavesIn: Duration?,
    val startedAtMs: Long,
    val coldFor: Duration? = null,
)
