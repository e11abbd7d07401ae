package io.tarragonport.core.gateway.balance

/** The server that a request goes to, with what decided it. */
data class ServerChoice(
    val server: ServerState,
    val score: Double,
    val tokensToRead: Int,
    val candidates: Int,
)
