package io.tarragonport.core.gateway.scaling

import io.tarragonport.api.gateway.ScalingLimits
import io.tarragonport.api.id.FailureDomainId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Divides the servers that a service needs among failure domains and between ordinary and cheap ones.
 *
 * Cheap servers of a domain can all be taken away at once, with seconds of notice. They are therefore spread evenly, and
 * there are enough that the loss of one domain's leaves the number needed; each domain keeps [ORDINARY_RESERVE] ordinary
 * ones. Where cheap ones were refused, ordinary ones take their place until [REFUSAL_LASTS] is over. Ordinary servers
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
        val domains = now.sortedWith(compareBy({ price(it.domain) }, { it.domain.value }))
        val available = domains.filter { !refused(it.domain) }
        if (limits.cheapPrice == null || available.isEmpty()) return ordinaryOnly(needed, domains)
        val cheap = cheapCounts(needed, available)
        val ready = now.sumOf { minOf(it.cheap, cheap[it.domain] ?: 0) }
        val missing = (needed - ready - domains.size * ORDINARY_RESERVE).coerceAtLeast(0)
        val ordinary = spread(domains.size * ORDINARY_RESERVE + missing, domains.map { it.domain })
        return domains.associate { servers ->
            val wantedCheap = cheap[servers.domain] ?: 0
            val wantedOrdinary = ordinary.getValue(servers.domain)
            servers.domain to bounded(wantedOrdinary, wantedCheap)
        }
    }

    private fun cheapCounts(
        needed: Int,
        available: List<DomainServers>,
    ): Map<FailureDomainId, Int> {
        val others = (available.size - 1).coerceAtLeast(1)
        val replaceable = (needed - available.size * ORDINARY_RESERVE).coerceAtLeast(0)
        val withReserve = replaceable + (replaceable + others - 1) / others
        return spread(withReserve, available.map { it.domain })
    }

    private fun ordinaryOnly(
        needed: Int,
        domains: List<DomainServers>,
    ): Map<FailureDomainId, WantedCounts> =
        spread(maxOf(needed, domains.size * ORDINARY_RESERVE), domains.map { it.domain })
            .mapValues { (_, count) -> bounded(count, 0) }

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
        val limitedOrdinary = ordinary.coerceAtMost(limits.maximumServers)
        val limitedCheap = cheap.coerceAtMost(limits.maximumServers - limitedOrdinary)
        val missing = (limits.minimumServers - limitedOrdinary - limitedCheap).coerceAtLeast(0)
        return WantedCounts(limitedOrdinary + missing, limitedCheap)
    }

    private fun price(domain: FailureDomainId): Double = limits.domainPrices[domain] ?: 1.0

    private fun refused(domain: FailureDomainId): Boolean = refusedUntil[domain]?.let { it > clock.markNow() } ?: false

    companion object {
        /** One server in each domain that cannot be reclaimed. */
        const val ORDINARY_RESERVE = 1

        /** Reclaimed capacity stays away for several seconds; asking again costs one call. */
        val REFUSAL_LASTS: Duration = 3.seconds
    }
}
