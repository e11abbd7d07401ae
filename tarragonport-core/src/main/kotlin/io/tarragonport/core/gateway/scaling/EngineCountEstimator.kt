package io.tarragonport.core.gateway.scaling

import io.tarragonport.core.gateway.fleet.ServiceDemand
import kotlin.math.ceil
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Estimates the number of model engines that the load of a service needs.
 *
 * Processing prompts delays every concurrent stream, so an engine is planned to spend only [PROCESSING_SHARE] of its
 * time on it, and to run [REQUESTS_PER_ENGINE] requests. Bursts last seconds and recur, and an engine takes seconds to
 * start, so the estimate is the maximum over the last [PEAK_WINDOW].
 */
class EngineCountEstimator(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val samples = ArrayDeque<Pair<ComparableTimeMark, Double>>()

    /** Adds the currently measured load and returns the number of engines needed. */
    fun update(demand: ServiceDemand): Int {
        val need = demand.readTokens / TOKENS_PER_SECOND / PROCESSING_SHARE + demand.inFlight / REQUESTS_PER_ENGINE
        samples.addLast(clock.markNow() to need)
        while (samples.first().first.elapsedNow() > PEAK_WINDOW) samples.removeFirst()
        return ceil(samples.maxOf { it.second }).toInt()
    }

    companion object {
        /** Prompt tokens that an engine processes in a second (48,200 to 56,600 in the deployment data). */
        const val TOKENS_PER_SECOND = 50_000.0

        /** Above this share, pauses of running streams exceed the limit of short chats (a prompt chunk takes 72 ms). */
        const val PROCESSING_SHARE = 0.5

        /** Half of an engine's slots, at which a batch step takes less than twice as long as for one request. */
        const val REQUESTS_PER_ENGINE = 32.0

        /** Longer than the time between two bursts plus the start time of an engine. */
        val PEAK_WINDOW: Duration = 20.seconds
    }
}
