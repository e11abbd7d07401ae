package io.tarragonport.core.routing

import io.tarragonport.api.backend.LoadReport
import kotlin.math.exp

/**
 * Estimated number of requests on one server: the last report, corrected by the requests that this VM has started and
 * ended since the report was made, and by the expected sends of its peers. Times are nanoseconds of the policy's clock.
 */
internal class ServerLoadEstimate {
    /** Requests on the server when the last report was made. */
    var reportedRequests: Int = 0
        private set
    private var reportedAt = Long.MIN_VALUE
    private val changeTimes = LongArray(MAXIMUM_CHANGES)
    private val changes = IntArray(MAXIMUM_CHANGES)
    private var changeCount = 0L

    /** Requests of this VM on the server. */
    var ownRequests: Int = 0
        private set

    fun started(now: Long) {
        ownRequests++
        recordChange(now, 1)
    }

    fun ended(now: Long) {
        ownRequests--
        recordChange(now, -1)
    }

    fun report(
        report: LoadReport,
        now: Long,
    ) {
        val madeAt = now - report.ageMs * NANOS_PER_MS
        if (madeAt < reportedAt) return
        reportedRequests = report.running + report.waiting
        reportedAt = madeAt
    }

    /**
     * Requests on the server at [now].
     *
     * The reported number decays towards [poolMean] with the time constant [serviceSeconds], because requests end and
     * other VMs balance the load. Each of [peers] other VMs is expected to have sent [PEER_SHARE] of what this VM has
     * sent since the report, because all VMs decide by the same report.
     */
    fun estimate(
        now: Long,
        poolMean: Double,
        serviceSeconds: Double,
        peers: Double,
    ): Double {
        if (!hasReport) return ownRequests.toDouble()
        val age = (now - reportedAt) / NANOS_PER_SECOND
        val decayed =
            poolMean + (reportedRequests - poolMean) * exp(-age / serviceSeconds.coerceAtLeast(MINIMUM_SERVICE_SECONDS))
        val changeSinceReport = ownChangeSinceReport()
        val peerSends = changeSinceReport.coerceAtLeast(0) * peers * PEER_SHARE
        return (decayed + changeSinceReport + peerSends).coerceAtLeast(ownRequests.toDouble())
    }

    private val hasReport: Boolean
        get() = reportedAt != Long.MIN_VALUE

    private fun ownChangeSinceReport(): Int {
        var sum = 0
        var index = changeCount - 1
        val oldest = (changeCount - MAXIMUM_CHANGES).coerceAtLeast(0)
        while (index >= oldest) {
            val place = (index % MAXIMUM_CHANGES).toInt()
            if (changeTimes[place] <= reportedAt) break
            sum += changes[place]
            index--
        }
        return sum
    }

    private fun recordChange(
        now: Long,
        change: Int,
    ) {
        val place = (changeCount % MAXIMUM_CHANGES).toInt()
        changeTimes[place] = now
        changes[place] = change
        changeCount++
    }

    private companion object {
        /**
         * Starts and ends of this VM that are kept. At its share of slots they suffice to correct a report several
         * seconds old.
         */
        const val MAXIMUM_CHANGES = 64
        const val NANOS_PER_MS = 1_000_000L

        const val NANOS_PER_SECOND = 1e9
        const val MINIMUM_SERVICE_SECONDS = 0.1
        const val PEER_SHARE = 0.3
    }
}
