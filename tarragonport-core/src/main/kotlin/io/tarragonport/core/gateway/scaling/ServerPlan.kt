package io.tarragonport.core.gateway.scaling

import io.tarragonport.api.gateway.ScalingLimits
import io.tarragonport.api.id.FailureDomainId
import kotlin.math.ceil
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Distributes the servers that a service needs over failure domains and between ordinary and cheap servers.
 *
 * All cheap servers of a domain can be reclaimed at once, and cheap servers can be unavailable everywhere for a while.
 * Therefore a share of the baseline is always served by ordinary servers. Cheap servers are spread evenly over the
 * domains and outnumber what the rest of the baseline needs. More ordinary servers are added when fewer cheap ones
 * serve than the load needs. Counts grow immediately and shrink only after they were too large for [SCALE_DOWN_DELAY],
 * because the cache of a released server is lost.
 */
class ServerPlan(
    private val limits: ScalingLimits,
    private val baseline: Int,
    private val clock: TimeSource.WithComparableMarks,
) {
    private class RetainedCount(
        val count: Int,
        val neededAt: ComparableTimeMark,
    )

    private val retainedOrdinary = mutableMapOf<FailureDomainId, RetainedCount>()
    private val retainedCheap = mutableMapOf<FailureDomainId, RetainedCount>()

    /** The wanted counts by domain for a load that needs [needed] servers, given the [serving] servers. */
    fun wanted(
        needed: Int,
        serving: List<DomainServers>,
    ): Map<FailureDomainId, WantedCounts> {
        val domains = serving.map { it.domain }.sortedWith(compareBy({ price(it) }, { it.value }))
        if (limits.cheapPrice == null) {
            val ordinary = retain(retainedOrdinary, spread(maxOf(needed, baseline), domains))
            return domains.associateWith { bounded(ordinary.getValue(it), 0) }
        }
        val minimumOrdinary = ceil(baseline * ORDINARY_SHARE).toInt()
        val maximumLoad = ceil(baseline * MAX_LOAD_RATIO).toInt()
        val load = needed.coerceAtMost(maximumLoad)
        val cheap =
            retain(retainedCheap, spread(maxOf(ceil(baseline * CHEAP_SHARE).toInt(), load - minimumOrdinary), domains))
        val servingCheap = serving.sumOf { it.cheap }
        val ordinary = retain(retainedOrdinary, cheapestFirst(maxOf(minimumOrdinary, load - servingCheap), domains))
        return domains.associateWith { bounded(ordinary.getValue(it), cheap.getValue(it)) }
    }

    private fun retain(
        retained: MutableMap<FailureDomainId, RetainedCount>,
        counts: Map<FailureDomainId, Int>,
    ): Map<FailureDomainId, Int> =
        counts.mapValues { (domain, count) ->
            val previous = retained[domain]
            val keeps = previous != null && previous.count > count && previous.neededAt.elapsedNow() < SCALE_DOWN_DELAY
            if (!keeps) retained[domain] = RetainedCount(count, clock.markNow())
            retained.getValue(domain).count
        }

    /** Divides [total] evenly; the remainder goes to the first domains, which are the cheapest. */
    private fun spread(
        total: Int,
        domains: List<FailureDomainId>,
    ): Map<FailureDomainId, Int> =
        domains
            .mapIndexed { index, domain ->
                domain to total / domains.size + if (index < total % domains.size) 1 else 0
            }.toMap()

    /** Fills the domains in order of price, each with at most [MAX_DOMAIN_SHARE] of [total]. */
    private fun cheapestFirst(
        total: Int,
        domains: List<FailureDomainId>,
    ): Map<FailureDomainId, Int> {
        val domainLimit = maxOf(ceil(total * MAX_DOMAIN_SHARE).toInt(), ceil(total.toDouble() / domains.size).toInt())
        var remaining = total
        return domains.associateWith { minOf(domainLimit, remaining).also { count -> remaining -= count } }
    }

    private fun bounded(
        ordinary: Int,
        cheap: Int,
    ): WantedCounts {
        val limitedOrdinary = ordinary.coerceAtMost(limits.maximumServers)
        val limitedCheap = cheap.coerceAtMost(limits.maximumServers - limitedOrdinary)
        val missing = (limits.minimumServers - limitedOrdinary - limitedCheap).coerceAtLeast(0)
        return WantedCounts(limitedOrdinary + missing, limitedCheap)
    }

    private fun price(domain: FailureDomainId): Double = limits.domainPrices[domain] ?: 1.0

    companion object {
        /** Share of the baseline with which ordinary servers alone sustain the load outside bursts. */
        const val ORDINARY_SHARE = 0.45

        /**
         * With the ordinary servers a third above the baseline, which then survives the loss of one domain's cheap
         * ones.
         */
        const val CHEAP_SHARE = 0.9

        /** Limit of the load relative to the baseline; more servers would not serve a higher load in time either. */
        const val MAX_LOAD_RATIO = 1.6
        const val MAX_DOMAIN_SHARE = 0.6

        /** Bursts recur within this time; a server takes seconds to start and longer to fill its cache. */
        val SCALE_DOWN_DELAY: Duration = 20.seconds
    }
}
