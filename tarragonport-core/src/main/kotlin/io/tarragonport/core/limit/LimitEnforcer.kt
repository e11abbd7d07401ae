package io.tarragonport.core.limit

import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import io.tarragonport.api.peer.LimitGrant
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Enforces this VM's shares of limits. Thread-safe; requests of different organisations do not block each other.
 */
class LimitEnforcer(
    private val timeSource: TimeSource,
) {
    private val organisations = ConcurrentHashMap<OrganisationId, OrganisationLimits>()

    private val reportBudget = TokenBucket(timeSource)

    @Volatile
    private var equalShare = 1.0

    /** Acquires one request and [tokens] tokens under the [limits] of [organisation]; null if it is admitted. */
    fun tryAcquire(
        limits: List<Limit>,
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    ): LimitRefusal? = if (limits.isEmpty()) null else organisationLimits(organisation).tryAcquire(limits, key, tokens)

    /** Charges further [requests] and [tokens]; negative numbers return them. */
    fun charge(
        organisation: OrganisationId,
        key: KeyId?,
        requests: Int,
        tokens: Long,
    ) {
        organisations[organisation]?.charge(key, requests, tokens)
    }

    /** Applies shares granted by the aggregator. */
    fun granted(grants: List<LimitGrant>) = grants.forEach { organisations[it.organisation]?.granted(it) }

    /** Recomputes the rates from the configured limits and the equal share [share], and removes unused limits. */
    fun update(
        share: Double,
        limits: (OrganisationId) -> List<Limit>,
    ) {
        equalShare = share
        organisations.forEach { (organisation, entry) -> entry.update(limits(organisation)) }
        organisations.values.removeIf { !it.active }
    }

    /** As many of the due reports as the budget allows, the most urgent and then the oldest first, by aggregator. */
    fun reports(
        vms: Int,
        aggregatorOf: (OrganisationId) -> VmId,
    ): Map<VmId, List<LimitDemand>> {
        val interval = ReportRate.interval(vms, organisations.values.sumOf { it.nearLimitCount })
        reportBudget.setRate(ReportRate.ENTRIES_PER_SECOND)
        return organisations
            .flatMap { (organisation, entry) -> entry.dueReports(aggregatorOf(organisation), interval) }
            .sortedWith(compareBy<DueReport> { it.urgency }.thenByDescending { it.age })
            .takeWhile { reportBudget.admits().also { admitted -> if (admitted) reportBudget.take(1.0) } }
            .groupBy({ it.aggregator }, { it.compose() })
    }

    private fun organisationLimits(organisation: OrganisationId) =
        organisations.computeIfAbsent(organisation) { OrganisationLimits(it) }

    private inner class OrganisationLimits(
        private val organisation: OrganisationId,
    ) {
        private val limits = HashMap<KeyId?, LocalLimit>()

        val active: Boolean
            @Synchronized get() = limits.values.any { it.active }

        @Synchronized
        fun tryAcquire(
            configured: List<Limit>,
            key: KeyId?,
            tokens: Long,
        ): LimitRefusal? {
            val applicable = configured.filter { it.key == null || it.key == key }.map(::localLimit)
            applicable.forEach { it.count(tokens) }
            val refusal = applicable.firstNotNullOfOrNull { it.refusal() }
            if (refusal == null) applicable.forEach { it.take(1, tokens) }
            return refusal
        }

        @Synchronized
        fun charge(
            key: KeyId?,
            requests: Int,
            tokens: Long,
        ) = setOf(null, key).forEach { limits[it]?.take(requests, tokens) }

        @Synchronized
        fun granted(grant: LimitGrant) {
            limits[grant.key]?.granted(grant)
        }

        @Synchronized
        fun update(configured: List<Limit>) {
            limits.keys.retainAll(configured.mapTo(HashSet()) { it.key })
            configured.forEach { limits[it.key]?.update(it, equalShare) }
        }

        val nearLimitCount: Int
            @Synchronized get() = limits.values.count { it.nearLimit }

        @Synchronized
        fun dueReports(
            aggregator: VmId,
            interval: Duration,
        ): List<DueReport> =
            limits.values.filter { it.active }.mapNotNull { limit ->
                limit.urgency(aggregator, interval)?.let { urgency ->
                    DueReport(aggregator, urgency, limit.reportAge) { report(limit, aggregator, interval) }
                }
            }

        @Synchronized
        private fun report(
            limit: LocalLimit,
            aggregator: VmId,
            interval: Duration,
        ): LimitDemand = limit.report(aggregator, interval)

        private fun localLimit(limit: Limit): LocalLimit =
            limits.getOrPut(limit.key) {
                LocalLimit(LimitSubject(organisation, limit.key), timeSource).also { it.update(limit, equalShare) }
            }
    }
}
