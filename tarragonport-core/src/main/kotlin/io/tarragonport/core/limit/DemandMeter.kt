package io.tarragonport.core.limit

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Demand per minute, as moving averages over a short and a long time. Not thread-safe. */
internal class DemandMeter(
    private val timeSource: TimeSource,
) {
    private var countedSince: TimeMark = timeSource.markNow()
    private var counted = 0L

    /** Adapts quickly to callers that move to another VM. */
    var shortTermRate = 0.0
        private set

    /** Not distorted by single requests: with 410 VMs an organisation may have one request in 15 s on a VM. */
    var longTermRate = 0.0
        private set

    fun count(amount: Long) {
        counted += amount
    }

    /** Includes the amounts counted since the last call in the averages. */
    fun update() {
        val elapsed = countedSince.elapsedNow()
        if (elapsed <= Duration.ZERO) return
        val rate = counted / (elapsed / MINUTE)
        shortTermRate += (1 - exp(-(elapsed / SHORT_TERM))) * (rate - shortTermRate)
        longTermRate += (1 - exp(-(elapsed / LONG_TERM))) * (rate - longTermRate)
        countedSince = timeSource.markNow()
        counted = 0
    }

    companion object {
        /** Short enough to adapt to callers that move to another VM, long enough to smooth single requests. */
        val SHORT_TERM: Duration = 1.seconds

        /** Long enough that a request every 15 s is not mistaken for one request per second. */
        val LONG_TERM: Duration = 10.seconds

        private val MINUTE = 60.seconds
    }
}
