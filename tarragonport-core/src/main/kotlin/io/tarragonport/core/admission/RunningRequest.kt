package io.tarragonport.core.admission

import io.tarragonport.core.routing.RoutedServer
import io.tarragonport.core.routing.ServerPool

/** An attempt of a request on [server]. Times are nanoseconds of the policy's clock; zero means not yet. */
internal class RunningRequest(
    val waiting: WaitingRequest,
    val serverPool: ServerPool,
    val server: RoutedServer,
    val startedAt: Long,
    val uncachedTokens: Int,
) {
    var lastTokenAt: Long = 0
    var generatedTokens: Int = 0

    /** Whether a preemption was decided, but the attempt has not ended yet. */
    var beingPreempted: Boolean = false

    /** Expected number of tokens still to be generated. */
    val remainingTokens: Int
        get() = waiting.route.estimate.planned - waiting.request.resumedTokens - generatedTokens

    val tier: Int
        get() = waiting.tier
}
