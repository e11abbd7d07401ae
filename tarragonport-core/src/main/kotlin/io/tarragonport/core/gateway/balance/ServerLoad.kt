package io.tarragonport.core.gateway.balance

/** Requests at a server and prompt tokens that it has not read yet. */
data class ServerLoad(
    val inFlight: Int,
    val unreadTokens: Long,
) {
    companion object {
        val NONE = ServerLoad(0, 0)
    }
}
