package io.tarragonport.standin.platform

import kotlinx.serialization.Serializable

/** Response of the platform stand-in to `GET /control/received`; lists are in order of arrival, with rejected calls. */
@Serializable
data class PlatformReceivedLog(
    val orders: List<ReceivedServerOrder>,
    val usage: List<ReceivedUsage>,
    val transfers: List<ReceivedTransfer>,
    val calls: List<CallCount>,
    val waitingWatches: Int,
    val mostWaitingWatches: Int,
)
