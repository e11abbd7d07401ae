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
 * Cheap servers of a domain can all be taken away at once, with seconds of notice. They are therefore spread evenly, and
 * there are enough that the loss of one domain's leaves the number needed; a share of [ORDINARY_SHARE] is ordinary.
 * Where cheap ones were refused, other domains' take their place until [REFUSAL_LASTS] is over. Ordinary servers
 * are given back only when the cheap ones that replace them serve.
 */
class ServerPlan(
    private val limits: ScalingLimits,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val refusedUntil = mutableMapOf<FailureDomainId, ComparableTimeMark>()

    /** The platform has no cheap servers in [domain] at the moment. */
    fun cheapRefused(domain: FailureDomainId) {
        refusedUntil[domain] = clock.markNow() + REFUSAL_LASTS
    }

    /** The numbers wanted in each domain for [needed] servers, given what serves [now]. */
    fun wanted(
        needed: Int,
        now: List<DomainServers>,
    ): Map<FailureDomainId, WantedCounts> {
        val domains = now.sortedWith(compareBy({ price(it.domain) }, { it.domain.value })).map { it.domain }
        val cheapDomains = domains.filter { !refused(it) }
        if (limits.cheapPrice == null || cheapDomains.isEmpty()) return spread(needed, domains).mapValues { bounded(it.value, 0) }
        val reserve = ceil(needed * ORDINARY_SHARE).toInt()
        val cheap = spread(withReserve(needed - reserve, cheapDomains.size), cheapDomains)
        val serving = now.sumOf { minOf(it.cheap, cheap[it.domain] ?: 0) }
        val ordinary = spread((needed - serving).coerceAtLeast(reserve), domains)
        return domains.associateWith { bounded(ordinary.getValue(it), cheap[it] ?: 0) }
    }

    private fun withReserve(
        needed: Int,
        domains: Int,
    ): Int {
        val others = (domains - 1).coerceAtLeast(1)
        return needed + (needed + others - 1) / others
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

    private fun bounded(
        ordinary: Int,
        cheap: Int,
    ): WantedCounts {
        val limitedCheap = cheap.coerceAtMost(limits.maximumServers)
        val limitedOrdinary = ordinary.coerceAtMost(limits.maximumServers - limitedCheap)
        val missing = (limits.minimumServers - limitedOrdinary - limitedCheap).coerceAtLeast(0)
        return WantedCounts(limitedOrdinary + missing, limitedCheap)
    }

    private fun price(domain: FailureDomainId): Double = limits.domainPrices[domain] ?: 1.0

    private fun refused(domain: FailureDomainId): Boolean = refusedUntil[domain]?.let { it > clock.markNow() } ?: false

    companion object {
        /** Ordinary servers stay when the cheap ones of all domains are taken away: enough for the most urgent work. */
        const val ORDINARY_SHARE = 0.15

        /** Reclaimed capacity stays away for several seconds; asking again costs one call. */
        val REFUSAL_LASTS: Duration = 3.seconds
    }
}
