package io.tarragonport.daemon.gateway.exchange

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/** Bounds the volume of the log to [LINES_PER_SECOND]. Safe to call from any thread. */
internal class LineBudget(
    clock: TimeSource,
) {
    private val start = clock.markNow()

    /** The running second in the upper half and the lines written in it in the lower half. */
    private val state = AtomicLong()

    /** Whether one more line may be written now. */
    fun tryTake(): Boolean {
        val second = start.elapsedNow().inWholeSeconds
        val next = state.updateAndGet { if (it ushr HALF == second) it + 1 else (second shl HALF) or 1 }
        return (next and LOWER_HALF) <= LINES_PER_SECOND
    }

    companion object {
        /** About ten lines for each of fifty requests a second, the share of one VM in the heaviest bursts. */
        const val LINES_PER_SECOND = 500L
        private const val HALF = 32
        private const val LOWER_HALF = 0xffff_ffffL
    }
}
