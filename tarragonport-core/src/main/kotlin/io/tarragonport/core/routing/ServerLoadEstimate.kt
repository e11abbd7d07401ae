package io.tarragonport.core.routing

import io.tarragonport.api.backend.LoadReport
import kotlin.math.exp

/**
 * Estimated number of requests on one server: the last report, corrected by what this VM has sent and seen end since
 * the report was made, and by the expected sends of its peers. Times are nanoseconds of the policy's clock.
 */
internal class ServerLoadEstimate {
    /** Requests on the server when the last report was made. */
    var reported: Int = 0
        private set
    private var reportedAt = Long.MIN_VALUE
    private val changeTimes = LongArray(KEPT_CHANGES)
    private val changes = IntArray(KEPT_CHANGES)
    private var changeCount = 0L

    /** Requests of this VM on the server. */
    var own: Int = 0
        private set

    fun started(now: Long) {
        own++
        remember(now, 1)
    }

    fun ended(now: Long) {
        own--
        remember(now, -1)
    }

    fun report(
        report: LoadReport,
        now: Long,
    ) {
        val madeAt = now - report.ageMs * NANOS_PER_MS
        if (madeAt < reportedAt) return
        reported = report.running + report.waiting
        reportedAt = madeAt
    }

    /**
     * Requests on the server at [now].
     *
     * What the report saw fades towards [poolMean] within [serviceSeconds], because requests end and other VMs level
     * the load out. [peers] VMs are expected to send [PEER_SHARE] of what this VM has sent since the report, because
     * they decide by the same report.
     */
    fun estimate(
        now: Long,
        poolMean: Double,
        serviceSeconds: Double,
        peers: Double,
    ): Double {
        if (!hasReport) return own.toDouble()
        val age = (now - reportedAt) / NANOS_PER_SECOND
        val faded = poolMean + (reported - poolMean) * exp(-age / serviceSeconds.coerceAtLeast(MINIMUM_SERVICE))
        val since = ownSince()
        val peerSends = since.coerceAtLeast(0) * peers * PEER_SHARE
        return (faded + since + peerSends).coerceAtLeast(own.toDouble())
    }

    private val hasReport: Boolean
        get() = reportedAt != Long.MIN_VALUE

    private fun ownSince(): Int {
        var sum = 0
        var index = changeCount - 1
        val oldest = (changeCount - KEPT_CHANGES).coerceAtLeast(0)
        while (index >= oldest) {
            val place = (index % KEPT_CHANGES).toInt()
            if (changeTimes[place] <= reportedAt) break
            sum += changes[place]
            index--
        }
        return sum
    }

    private fun remember(
        now: Long,
        change: Int,
    ) {
        val place = (changeCount % KEPT_CHANGES).toInt()
        changeTimes[place] = now
        changes[place] = change
        changeCount++
    }

    private companion object {
        /** Own starts and ends remembered; at the slot share of one VM this covers reports several seconds old. */
        const val KEPT_CHANGES = 64
        const val NANOS_PER_MS = 1_000_000L

        const val NANOS_PER_SECOND = 1e9
        const val MINIMUM_SERVICE = 0.1
        const val PEER_SHARE = 0.3
    }
}
