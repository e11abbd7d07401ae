package io.tarragonport.core.admission

import io.tarragonport.core.estimate.LengthEstimate
import io.tarragonport.core.estimate.ServiceSpeed
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Converts marks of the policy's clock to nanoseconds since its start and computes the latest start times. */
internal class RequestTimes(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val origin = clock.markNow()

    fun now(): Long = nanos(clock.markNow())

    fun nanos(mark: ComparableTimeMark): Long = (mark - origin).inWholeNanoseconds

    /** Latest start that meets the deadline at the planned output length. */
    fun latestStart(
        request: PendingRequest,
        estimate: LengthEstimate,
        speed: ServiceSpeed,
    ): Long {
        val output = (estimate.planned - request.resumedTokens).coerceAtLeast(1)
        return nanos(request.deadline) - millis(speed.serviceMs(request.promptTokens, output))
    }

    /** Latest start that meets the first-token target; unbounded without a target and once a token was delivered. */
    fun latestStartForTarget(
        request: PendingRequest,
        speed: ServiceSpeed,
    ): Long {
        val target = request.requestClass.firstTokenMs
        if (target == null || request.resumedTokens > 0) return Long.MAX_VALUE
        return nanos(request.arrival) + millis(target - speed.serviceMs(request.promptTokens, outputTokens = 1))
    }

    /**
     * Latest start that meets the latency objective with a margin. The objective is the first-token target, or the
     * deadline for a class without one.
     */
    fun startDeadline(
        request: PendingRequest,
        estimate: LengthEstimate,
        speed: ServiceSpeed,
    ): Long {
        val target = request.requestClass.firstTokenMs ?: return latestStartWithMargin(request, estimate, speed)
        if (request.resumedTokens > 0) return now() + millis(RESUME_TARGET_MS)
        val prefill = speed.serviceMs(request.promptTokens, outputTokens = 1)
        val wait = speed.firstTokenWaitMs.coerceAtMost(target * MAXIMUM_WAIT_SHARE)
        return nanos(request.arrival) + millis(target - maxOf(prefill, wait))
    }

    /** Latest start that meets the deadline with a long response and after preemptions. */
    private fun latestStartWithMargin(
        request: PendingRequest,
        estimate: LengthEstimate,
        speed: ServiceSpeed,
    ): Long {
        val output = (estimate.p90 - request.resumedTokens).coerceAtLeast(1)
        return nanos(request.deadline) -
            millis(speed.serviceMs(request.promptTokens, output) * PREEMPTION_MARGIN_FACTOR)
    }

    private fun millis(value: Double): Long = (value * NANOS_PER_MS).toLong()

    private companion object {
        const val NANOS_PER_MS = 1e6

        /**
         * Share of the target that the expected wait may use; otherwise a congested engine makes every request late.
         */
        const val MAXIMUM_WAIT_SHARE = 0.5

        /** Leaves time to wait and prefill again after preemptions, of which a long request may have up to three. */
        const val PREEMPTION_MARGIN_FACTOR = 2.5

        /** A resumed stream has already delivered its first token; a longer pause is noticeable to a reader. */
        const val RESUME_TARGET_MS = 500.0
    }
}
