package io.tarragonport.core.gateway.balance

/**
 * The server selected for a request.
 *
 * [candidates] is the number of servers compared, among which [server] has the lowest [score]. It has to process
 * [tokensToProcess] prompt tokens. [fetchFrom] is the engine from which it is to fetch the shared parts of the prompt,
 * null if it need not fetch any.
 */
data class ServerChoice(
    val server: TrackedServer,
    val score: Double,
    val tokensToProcess: Int,
    val candidates: Int,
    val fetchFrom: TrackedServer? = null,
)
