package io.tarragonport.core.limit

import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import io.tarragonport.api.peer.LimitGrant
import kotlin.math.roundToInt
import kotlin.math.roundToLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** One limit on this VM: token buckets for the VM's share, and the demand to report. Not thread-safe. */
internal class LocalLimit(
    private val subject: LimitSubject,
    private val timeSource: TimeSource,
) {
    private val requests = TokenBucket(timeSource)
    private val tokens = TokenBucket(timeSource)
    private val requestDemand = DemandMeter(timeSource)
    private val tokenDemand = DemandMeter(timeSource)
    private val schedule = ReportSchedule(timeSource)
    private var lastUse: TimeMark = timeSource.markNow()
    private var reported = LimitDemand(subject.organisation, subject.key)
    private var limit: Limit? = null

    /** True while callers use this limit; unused limits are not reported. */
    val active: Boolean get() = lastUse.elapsedNow() < if (schedule.distant) DISTANT_IDLE_AFTER else IDLE_AFTER

    /** True if demand is near the limit, where exact shares are needed. */
    val nearLimit: Boolean get() = schedule.nearLimit

    val reportAge: Duration get() = schedule.age

    /** Sets the rates from the configured [limit], the last grant and the equal share. */
    fun update(
        limit: Limit,
        equalShare: Double,
    ) {
        this.limit = limit
        requestDemand.update()
        tokenDemand.update()
        val grant = schedule.grant
        requests.setRate(rate(limit.requestsPerMinute, grant?.requestShare, equalShare) / SECONDS_PER_MINUTE)
        tokens.setRate(rate(limit.tokensPerMinute, grant?.tokenShare, equalShare) / SECONDS_PER_MINUTE)
    }

    fun granted(grant: LimitGrant) = schedule.granted(grant)

    /** Counts a request of [amount] tokens as demand, whether or not it is admitted. */
    fun count(amount: Long) {
        lastUse = timeSource.markNow()
        requestDemand.count(1)
        tokenDemand.count(amount)
    }

    /** The refusal of the next request, null if it is admitted. */
    fun refusal(): LimitRefusal? {
        val limit = limit
        return when {
            limit?.requestsPerMinute != null && !requests.admits() ->
                LimitRefusal("$subject: ${limit.requestsPerMinute} requests a minute", requests.untilAdmission())
            limit?.tokensPerMinute != null && !tokens.admits() ->
                LimitRefusal("$subject: ${limit.tokensPerMinute} tokens a minute", tokens.untilAdmission())
            else -> null
        }
    }

    /** Charges requests and tokens; negative numbers return them. */
    fun take(
        requestCount: Int,
        tokenCount: Long,
    ) {
        requests.take(requestCount.toDouble())
        tokens.take(tokenCount.toDouble())
    }

    /** Urgency of a report to [aggregator], null if none is due; [interval] applies near the limit. */
    fun urgency(
        aggregator: VmId,
        interval: Duration,
    ): ReportUrgency? = schedule.urgency(aggregator, demandGrown, interval)

    /** Composes the report to [aggregator] and marks it as sent. */
    fun report(
        aggregator: VmId,
        interval: Duration,
    ): LimitDemand {
        val useLongTerm = interval > LONGEST_SHORT_TERM_INTERVAL || (schedule.distant && !demandGrown)
        val requestsPerMinute = if (useLongTerm) requestDemand.longTermRate else requestDemand.shortTermRate
        val tokensPerMinute = if (useLongTerm) tokenDemand.longTermRate else tokenDemand.shortTermRate
        reported =
            LimitDemand(
                subject.organisation,
                subject.key,
                requestsPerMinute.roundToInt(),
                tokensPerMinute.roundToLong(),
                ReportRate.wholeSeconds(interval),
            )
        schedule.reported(aggregator, interval)
        return reported
    }

    /** True if demand has grown so much that the last report is outdated. */
    private val demandGrown: Boolean
        get() =
            hasGrown(
                limit?.requestsPerMinute,
                requestDemand.longTermRate,
                reported.requests.toDouble(),
                requests.ratePerSecond,
            ) ||
                hasGrown(
                    limit?.tokensPerMinute,
                    tokenDemand.longTermRate,
                    reported.tokens.toDouble(),
                    tokens.ratePerSecond,
                )

    /**
     * Whether [demand] exceeds what it may reach without a report. Near the limit that is the share, but at least
     * [GROWTH_FACTOR] times the reported demand; otherwise it is halfway from the reported demand to the share, but at
     * least the reported demand.
     */
    private fun hasGrown(
        perMinute: Long?,
        demand: Double,
        reported: Double,
        ratePerSecond: Double,
    ): Boolean {
        val share = ratePerSecond * SECONDS_PER_MINUTE
        val allowed = if (schedule.nearLimit) maxOf(reported * GROWTH_FACTOR, share) else (reported + share) / 2
        return perMinute != null && demand > maxOf(allowed, reported)
    }

    private fun rate(
        perMinute: Long?,
        millionths: Int?,
        equalShare: Double,
    ): Double {
        val granted = millionths?.let { it.toDouble() / LimitGrant.FULL_SHARE } ?: equalShare
        return (perMinute ?: 0) * ShareDecay.share(granted, equalShare, schedule.silence)
    }

    companion object {
        /** Time without requests after which a limit is no longer reported. */
        val IDLE_AFTER: Duration = 10.seconds

        /** As [IDLE_AFTER], but far below the limit, where a grant is valid from one rotation to the next. */
        val DISTANT_IDLE_AFTER: Duration = ReportRate.ROTATION_INTERVAL * 2

        /** Longest report interval for which the demand of the last second is representative. */
        private val LONGEST_SHORT_TERM_INTERVAL = 2.seconds
        private const val GROWTH_FACTOR = 1.5
        private const val SECONDS_PER_MINUTE = 60.0
    }
}
