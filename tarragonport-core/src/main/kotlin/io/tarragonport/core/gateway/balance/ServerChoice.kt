package io.tarragonport.core.gateway.balance

/**
 * The server that a request goes to, with what decided it.
 *
 * [fetchFrom] is an engine that keeps the shared parts of the prompt, where the chosen one has to get them first.
 */
data class ServerChoice(
    val server: TrackedServer,
    val score: Double,
    val tokensToRead: Int,
    val candidates: Int,
    val fetchFrom: TrackedServer? = null,
)
