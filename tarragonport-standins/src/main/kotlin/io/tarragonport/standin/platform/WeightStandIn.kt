package io.tarragonport.standin.platform

import io.tarragonport.platform.TransferRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** Rate-limited weight transfers: at most [transfersPerMinute], evenly spaced. */
class WeightStandIn(
    transfersPerMinute: Int,
    clock: TimeSource.WithComparableMarks,
) {
    private val interval = 1.minutes / transfersPerMinute
    private val start = clock.markNow()
    private var nextAllowed = Duration.ZERO
    private val received = mutableListOf<ReceivedTransfer>()

    /** Handles a transfer; returns the time to wait if the rate limit is exceeded, null if it is accepted. */
    @Synchronized
    fun transfer(
        model: String,
        request: TransferRequest,
    ): Duration? {
        val now = start.elapsedNow()
        val retryAfter = (nextAllowed - now).takeIf { it.isPositive() }
        val status = if (retryAfter == null) ACCEPTED else TOO_MANY_REQUESTS
        if (retryAfter == null) {
            nextAllowed = now + interval
        }
        received += ReceivedTransfer(now.inWholeMilliseconds, model, request, status)
        return retryAfter
    }

    @Synchronized
    fun received(): List<ReceivedTransfer> = received.toList()

    companion object {
        const val ACCEPTED = 202
        const val TOO_MANY_REQUESTS = 429
    }
}
