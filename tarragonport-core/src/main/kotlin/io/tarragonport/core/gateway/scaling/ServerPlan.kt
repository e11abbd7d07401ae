package io.tarragonport.core.gateway.scaling

import io.tarragonport.api.gateway.ScalingLimits
import io.tarragonport.api.id.FailureDomainId
import kotlin.math.ceil
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Divides the servers that a service needs among failure domains and between ordinary and cheap ones.
 *
 * Cheap servers of a domain can all be taken away at once, and for a while none may be had anywhere. A share of the
 * baseline therefore stays ordinary, cheap ones are spread evenly and more than replace the rest, and ordinary ones step
 * in when the cheap ones that serve are fewer than the load needs. Numbers grow at once and fall only after they were
 * too large for [HELD], because a server that is given back takes its cache along.
 */
class ServerPlan(
    private val limits: ScalingLimits,
    private val baseline: Int,
    private val clock: TimeSource.WithComparableMarks,
) {
    private class Held(
        val count: Int,
        val neededAt: ComparableTimeMark,
    )

    private val heldOrdinary = mutableMapOf<FailureDomainId, Held>()
    private val heldCheap = mutableMapOf<FailureDomainId, Held>()

    /** The numbers wanted in each domain for a load that needs [needed] servers, given what serves [now]. */
    fun wanted(
        needed: Int,
        now: List<DomainServers>,
    ): Map<FailureDomainId, WantedCounts> {
        val domains = now.map { it.domain }.sortedWith(compareBy({ price(it) }, { it.value }))
        if (limits.cheapPrice == null) {
            val even = hold(heldOrdinary, spread(maxOf(needed, baseline), domains))
            return domains.associateWith { bounded(even.getValue(it), 0) }
        }
        val least = ceil(baseline * ORDINARY_SHARE).toInt()
        val most = ceil(baseline * MOST_OF_BASELINE).toInt()
        val load = needed.coerceAtMost(most)
        val cheap = hold(heldCheap, spread(maxOf(ceil(baseline * CHEAP_SHARE).toInt(), load - least), domains))
        val serving = now.sumOf { it.cheap }
        val ordinary = hold(heldOrdinary, cheapestFirst(maxOf(least, load - serving), domains))
        return domains.associateWith { bounded(ordinary.getValue(it), cheap.getValue(it)) }
    }

    private fun hold(
        held: MutableMap<FailureDomainId, Held>,
        counts: Map<FailureDomainId, Int>,
    ): Map<FailureDomainId, Int> =
        counts.mapValues { (domain, count) ->
            val before = held[domain]
            val keeps = before != null && before.count > count && before.neededAt.elapsedNow() < HELD
            if (!keeps) held[domain] = Held(count, clock.markNow())
            held.getValue(domain).count
        }

    /** Divides [total] evenly; the first domains, which are the cheapest, get what is left over. */
    private fun spread(
        total: Int,
        domains: List<FailureDomainId>,
    ): Map<FailureDomainId, Int> =
        domains
            .mapIndexed { index, domain ->
                domain to total / domains.size + if (index < total % domains.size) 1 else 0
            }.toMap()

    /** Fills the domains in the order of their prices, none with more than [MOST_IN_ONE_DOMAIN] of [total]. */
    private fun cheapestFirst(
        total: Int,
        domains: List<FailureDomainId>,
    ): Map<FailureDomainId, Int> {
        val most = maxOf(ceil(total * MOST_IN_ONE_DOMAIN).toInt(), ceil(total.toDouble() / domains.size).toInt())
        var left = total
        return domains.associateWith { minOf(most, left).also { count -> left -= count } }
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
        /** Ordinary servers alone carry a calm load without bursts. */
        const val ORDINARY_SHARE = 0.45

        /** With the ordinary ones, a third above the baseline: the loss of one domain's cheap servers leaves it. */
        const val CHEAP_SHARE = 0.9

        /** A load that seems to need more is one that more servers would not serve in time. */
        const val MOST_OF_BASELINE = 1.6
        const val MOST_IN_ONE_DOMAIN = 0.6

        /** Bursts come again within this time; a server needs seconds to start and longer to fill its cache. */
        val HELD: Duration = 20.seconds
    }
}
