package io.tarragonport.core.gateway.scaling

import io.tarragonport.core.gateway.fleet.ServiceDemand
import kotlin.math.ceil
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The number of model engines that a service's load needs.
 *
 * An engine is planned to read prompts for [READING_SHARE] of its time, because reading delays every stream beside it,
 * and to run [REQUESTS_PER_ENGINE] requests. Bursts last seconds and come again, and an engine takes seconds to start;
 * the need is therefore the largest of the last [REMEMBERED].
 */
class EngineCountEstimator(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val samples = ArrayDeque<Pair<ComparableTimeMark, Double>>()

    /** Takes the load measured now and returns the number of engines needed. */
    fun update(demand: ServiceDemand): Int {
        val need = demand.readTokens / TOKENS_PER_SECOND / READING_SHARE + demand.inFlight / REQUESTS_PER_ENGINE
        samples.addLast(clock.markNow() to need)
        while (samples.first().first.elapsedNow() > REMEMBERED) samples.removeFirst()
        return ceil(samples.maxOf { it.second }).toInt()
    }

    companion object {
        /** Prompt tokens that an engine reads in a second, from the deployments' sheets (48,200 to 56,600). */
        const val TOKENS_PER_SECOND = 50_000.0

        /** Above this share, pauses of running streams exceed what quick chats allow (a chunk takes 72 ms). */
        const val READING_SHARE = 0.5

        /** Half of an engine's slots: a step of its batch takes less than twice as long as that of one request. */
        const val REQUESTS_PER_ENGINE = 32.0

        /** Longer than the time between two bursts and the start of an engine together. */
        val REMEMBERED: Duration = 20.seconds
    }
}
