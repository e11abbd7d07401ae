package io.tarragonport.core.gateway.balance

/**
 * The server selected for a request, with the figures of the decision.
 *
 * [fetchFrom] is the engine from which the selected engine is to fetch the shared parts of the prompt, null if it need
 * not fetch any.
 */
data class ServerChoice(
    val server: TrackedServer,
    val score: Double,
    val tokensToRead: Int,
    val candidates: Int,
    val fetchFrom: TrackedServer? = null,
)
