package io.tarragonport.core.admission

import io.tarragonport.core.routing.RouteRequest

/**
 * A request in a queue. Times are nanoseconds of the policy's clock.
 *
 * [startDeadline] is the latest start that meets the latency objective with a margin for usual waits and long
 * responses; requests past it are queued behind those that are on time. [latestStartForTarget] is the latest start that
 * can still meet the first-token target, [latestStart] the latest that can meet the deadline. [startedBefore] is set if
 * this VM has sent the request before, [preemptions] is the number of preemptions so far.
 */
internal class WaitingRequest(
    val route: RouteRequest,
    val sequence: Long,
    val enqueuedAt: Long,
    val startDeadline: Long,
    val latestStartForTarget: Long,
    val latestStart: Long,
    val startedBefore: Boolean,
    val preemptions: Int,
) {
    val request: PendingRequest
        get() = route.request

    val tier: Int
        get() = request.requestClass.tier.value

    /** Whether an earlier attempt delivered tokens; its work is lost unless this one finishes. */
    val resumed: Boolean
        get() = request.resumedTokens > 0

    /**
     * Whether a start at [now] meets the latency objective with a margin, or preserves the work of an earlier attempt.
     */
    fun isOnTime(now: Long): Boolean = resumed || startDeadline >= now

    /** Tokens charged to the organisation's fair share at the start; corrected at the end of the attempt. */
    val estimatedTokens: Int
        get() = request.promptTokens + (route.estimate.p50 - request.resumedTokens).coerceAtLeast(1)
}
