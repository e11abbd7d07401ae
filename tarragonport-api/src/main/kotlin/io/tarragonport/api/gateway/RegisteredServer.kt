package io.tarragonport.api.gateway

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId
import kotlin.time.Duration

/**
 * A backend server as it registered itself.
 *
 * [address] is `ip:port`. [leaving] servers finish what they run and get nothing new; [leavesIn] tells how long they
 * stay where that is known. [startedAtMs] is the start of the process in milliseconds since 1970: a server that starts
 * again may keep its id but has lost its cache and its requests.
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
)
