package io.tarragonport.core.limit

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitGrant
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** When a VM reports its demand under one limit, and for how long its grant is valid. Not thread-safe. */
internal class ReportSchedule(
    private val timeSource: TimeSource,
) {
    private var grantedAt: TimeMark = timeSource.markNow()
    private var reportedAt: TimeMark? = null
    private var unacknowledgedSince: TimeMark? = null
    private var aggregator: VmId? = null
    private var interval = ReportRate.SHORTEST_INTERVAL

    var grant: LimitGrant? = null
        private set

    /** True if the last grant says that the organisation is far below its limit. */
    val distant: Boolean get() = grant?.distant == true

    val nearLimit: Boolean get() = grant?.distant == false

    /** Time since the last report. */
    val age: Duration get() = reportedAt?.elapsedNow() ?: Duration.INFINITE

    /** How long the aggregator has been silent, less the time by which the report interval exceeds the shortest one. */
    val silence: Duration
        get() =
            if (distant) {
                unacknowledgedSince?.elapsedNow() ?: Duration.ZERO
            } else {
                grantedAt.elapsedNow() - (interval - ReportRate.SHORTEST_INTERVAL)
            }

    fun granted(grant: LimitGrant) {
        this.grant = grant
        grantedAt = timeSource.markNow()
        unacknowledgedSince = null
    }

    /**
     * Urgency of a report to [aggregator], null if none is due. [demandGrown] is set if the last report is outdated;
     * [interval] applies near the limit.
     */
    fun urgency(
        aggregator: VmId,
        demandGrown: Boolean,
        interval: Duration,
    ): ReportUrgency? {
        val sameAggregator = aggregator == this.aggregator
        val minimumInterval = if (nearLimit && !demandGrown) interval else ReportRate.SHORTEST_INTERVAL
        return when {
            sameAggregator && age < minimumInterval - ReportRate.TICK_TOLERANCE -> null
            demandGrown || (sameAggregator && nearLimit) -> ReportUrgency.NEAR_LIMIT
            !sameAggregator || unacknowledgedSince != null || grant == null -> ReportUrgency.UNKNOWN
            age >= ReportRate.ROTATION_INTERVAL -> ReportUrgency.ROTATION
            else -> null
        }
    }

    fun reported(
        aggregator: VmId,
        interval: Duration,
    ) {
        this.aggregator = aggregator
        this.interval = interval
        reportedAt = timeSource.markNow()
        if (unacknowledgedSince == null) unacknowledgedSince = timeSource.markNow()
    }
}
