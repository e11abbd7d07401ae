package io.tarragonport.core.gateway.balance

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Decaying failure score and moving average of the response time of one server. */
class ServerHealthEstimate {
    private var failures = 0.0
    private var decayedAt: ComparableTimeMark? = null

    /** Moving average of the time to a response or first event. */
    var responseTime: Duration = INITIAL_RESPONSE_TIME
        private set

    /** Records a usable response, or the first event of one, after [time]. */
    fun succeeded(
        time: Duration,
        now: ComparableTimeMark,
    ) {
        responseTime += (time - responseTime) * SMOOTHING_FACTOR
        failures = decayed(now) * SUCCESS_FACTOR
    }

    /** Records a request failure that is attributed to the server. */
    fun failed(now: ComparableTimeMark) {
        failures = (decayed(now) + 1).coerceAtMost(MAX_FAILURE_SCORE)
    }

    /** Factor of at least 1 by which the server's score exceeds that of a healthy one. */
    fun penalty(now: ComparableTimeMark): Double = 1 + FAILURE_WEIGHT * decayed(now)

    private fun decayed(now: ComparableTimeMark): Double {
        if (failures == 0.0) {
            decayedAt = now
            return 0.0
        }
        val elapsed = decayedAt?.let { now - it } ?: Duration.ZERO
        decayedAt = now
        failures *= exp(-elapsed.toDouble(DurationUnit.SECONDS) / FAILURE_DECAY_TIME.toDouble(DurationUnit.SECONDS))
        return failures
    }

    private companion object {
        /** Between the mean time of a plain service and the first event of a chat, so that new servers are tried. */
        val INITIAL_RESPONSE_TIME: Duration = 100.milliseconds

        /** Exponential moving average over about eight responses, so that one slow response has little effect. */
        const val SMOOTHING_FACTOR = 0.12

        /** Time constant of the failure score: a crashed server restarts within seconds. */
        val FAILURE_DECAY_TIME: Duration = 3.seconds

        /** With this factor, the failure score of a server that fails every second request averages about two. */
        const val SUCCESS_FACTOR = 0.7
        const val MAX_FAILURE_SCORE = 8.0

        /** One recent failure triples the server's score. */
        const val FAILURE_WEIGHT = 2.0
    }
}
