package io.tarragonport.core.admission

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.core.estimate.LengthEstimator
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.core.routing.RouteRequest

/**
 * Prepares requests for the queue of their pool. Refuses those that are blocked, can no longer meet their deadline or
 * first-token target, or are shed.
 */
internal class RequestAdmission(
    private val times: RequestTimes,
    private val estimator: LengthEstimator,
    private val crashes: CrashHistory,
    private val queueBound: Int,
) {
    private var sequence = 0L

    /**
     * The refusal of [request] if its fingerprint is blocked after repeated server crashes, else null. [startedBefore]
     * is set if this VM has sent the request before.
     */
    fun refuseBlocked(
        request: PendingRequest,
        startedBefore: Boolean,
    ): DispatchDecision.Refuse? {
        if (!crashes.isBlocked(request.fingerprint)) return null
        val message = "the request was in flight at ${CrashHistory.BLOCK_THRESHOLD} server crashes"
        return QueuedRequestErrors.of(ErrorKind.REQUEST_HELD, message, request, startedBefore)
    }

    /** Whether [request] was in flight during a crash and must not share a server with another suspect. */
    fun isSuspect(request: PendingRequest): Boolean = crashes.isSuspect(request.fingerprint)

    /** Adds estimates and latest start times to [request], which has been preempted [preemptions] times. */
    fun prepare(
        request: PendingRequest,
        state: PoolState,
        preemptions: Int,
        now: Long,
    ): WaitingRequest {
        val estimate = estimator.estimate(request)
        val latestStart = times.latestStart(request, estimate, state.serverPool.speed)
        val startDeadline = times.startDeadline(request, estimate, state.serverPool.speed)
        val latestStartForTarget = times.latestStartForTarget(request, state.serverPool.speed)
        sequence++
        val route = RouteRequest(request, estimate, isSuspect(request))
        return WaitingRequest(
            route,
            sequence,
            now,
            minOf(startDeadline, latestStart),
            latestStartForTarget,
            latestStart,
            startedBefore = preemptions > 0,
            preemptions,
        )
    }

    /** Refuses requests that can no longer complete before their deadline. */
    fun refuseExpired(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ) {
        while (true) {
            val expired = state.queue.expired(now) ?: return
            state.queue.remove(expired)
            decisions += deadlineRefusal(expired)
        }
    }

    /** Refuses requests that have missed their first-token target while others of their class have not. */
    fun refuseMissedTarget(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ) {
        while (true) {
            val missed = state.queue.missedTarget(now) ?: return
            state.queue.remove(missed)
            val message = "the first token cannot arrive within ${missed.request.requestClass.firstTokenMs} ms"
            decisions +=
                QueuedRequestErrors.of(ErrorKind.DEADLINE_UNREACHABLE, message, missed.request, missed.startedBefore)
        }
    }

    /** The refusal of [waiting], which can no longer meet its deadline. */
    fun deadlineRefusal(waiting: WaitingRequest): DispatchDecision {
        val message = "about ${waiting.route.estimate.planned} tokens cannot be generated before the deadline"
        return QueuedRequestErrors.of(ErrorKind.DEADLINE_UNREACHABLE, message, waiting.request, waiting.startedBefore)
    }

    /** Sheds one request if the queue, which includes [arrival], exceeds its bound. */
    fun shed(
        state: PoolState,
        arrival: WaitingRequest,
    ): DispatchDecision? {
        if (state.queue.size <= queueBound) return null
        val victim = Shedding.victim(state.queue, arrival)
        state.queue.remove(victim)
        val message = "the queue of ${victim.request.pool} is full"
        return QueuedRequestErrors.of(ErrorKind.OVERLOADED, message, victim.request, victim.startedBefore)
    }
}
