package io.tarragonport.daemon.gateway.exchange

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/** Limits the log to [LINES_PER_SECOND]. Safe to call from any thread. */
internal class LogRateLimiter(
    clock: TimeSource,
) {
    private val start = clock.markNow()

    /** The current second in the upper 32 bits and the number of lines requested in it in the lower 32 bits. */
    private val state = AtomicLong()

    /** Whether one more line may be written now. */
    fun tryAcquire(): Boolean {
        val second = start.elapsedNow().inWholeSeconds
        val next = state.updateAndGet { if (it ushr SECOND_SHIFT == second) it + 1 else (second shl SECOND_SHIFT) or 1 }
        return (next and COUNT_MASK) <= LINES_PER_SECOND
    }

    companion object {
        /** About ten lines for each of 50 requests a second, the share of one VM in the largest bursts. */
        const val LINES_PER_SECOND = 500L
        private const val SECOND_SHIFT = 32
        private const val COUNT_MASK = 0xffff_ffffL
    }
}
