package io.tarragonport.core.gateway.balance

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Recent failures and answer times of one server, weighted towards the newest. */
class ServerHealthView {
    private var failures = 0.0
    private var countedAt: ComparableTimeMark? = null

    /** Moving mean of the time to an answer or first event. */
    var answerTime: Duration = INITIAL_ANSWER_TIME
        private set

    /** A request got a usable answer, or its first event, after [time]. */
    fun succeeded(
        time: Duration,
        now: ComparableTimeMark,
    ) {
        answerTime += (time - answerTime) * WEIGHT_OF_NEWEST
        failures = decayed(now) * KEPT_AFTER_SUCCESS
    }

    /** A request failed in a way that speaks against the server. */
    fun failed(now: ComparableTimeMark) {
        failures = (decayed(now) + 1).coerceAtMost(MOST_FAILURES)
    }

    /** Factor of at least 1 by which the server is less attractive than a sound one. */
    fun penalty(now: ComparableTimeMark): Double = 1 + FAILURE_WEIGHT * decayed(now)

    private fun decayed(now: ComparableTimeMark): Double {
        val since = countedAt?.let { now - it } ?: Duration.ZERO
        countedAt = now
        failures *= exp(-since.toDouble(DurationUnit.SECONDS) / DECAY.toDouble(DurationUnit.SECONDS))
        return failures
    }

    private companion object {
        /** Between the mean work of a plain service and the first event of a chat, so that unknown servers are tried. */
        val INITIAL_ANSWER_TIME: Duration = 100.milliseconds

        /** Averages over about the last eight answers: one slow answer does not move a server far. */
        const val WEIGHT_OF_NEWEST = 0.12

        /** Failures are forgotten with this time constant: a crashed server is back after some seconds. */
        val DECAY: Duration = 3.seconds

        /** A server that answers every second request keeps a mean count of failures near two. */
        const val KEPT_AFTER_SUCCESS = 0.7
        const val MOST_FAILURES = 8.0

        /** One recent failure makes a server as unattractive as three times its load. */
        const val FAILURE_WEIGHT = 2.0
    }
}
