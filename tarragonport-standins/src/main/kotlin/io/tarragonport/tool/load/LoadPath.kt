package io.tarragonport.tool.load

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicInteger

/**
 * One path to the engines, direct or through the daemon, and its measurements. Times are in microseconds from the
 * scheduled start of a request.
 */
class LoadPath(
    val addresses: List<String>,
    val key: String?,
) {
    val firstToken = ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS)
    val fullResponse = ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS)
    val correct = AtomicInteger()
    val wrong = AtomicInteger()

    companion object {
        const val HIGHEST_MICROSECONDS = 600_000_000L
        private const val DIGITS = 3
    }
}
