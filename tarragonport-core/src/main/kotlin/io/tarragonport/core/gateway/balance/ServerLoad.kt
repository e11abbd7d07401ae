package io.tarragonport.core.gateway.balance

/** Requests in flight at a server and prompt tokens that it has not processed yet. */
data class ServerLoad(
    val inFlight: Int,
    val unprocessedTokens: Long,
) {
    operator fun plus(other: ServerLoad) =
        ServerLoad(inFlight + other.inFlight, unprocessedTokens + other.unprocessedTokens)

    companion object {
        val NONE = ServerLoad(0, 0)
    }
}
