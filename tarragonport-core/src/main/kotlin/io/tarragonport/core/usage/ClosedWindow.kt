package io.tarragonport.core.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import kotlinx.serialization.Serializable

/**
 * The fixed figures of one shard and window.
 *
 * [figures] has the organisations with usage. [included] is, for each object of a process, the totals that the figures
 * up to this window contain; [departed] the same for objects that were deleted. [reportedTotals] is the sum of the
 * figures up to this window. Every counted token is in exactly one figure because the next window starts from
 * [included].
 */
@Serializable
data class ClosedWindow(
    val shard: Int,
    val window: UsageWindow,
    val figures: Map<OrganisationId, UsageFigure>,
    val included: Map<String, Map<OrganisationId, UsageTotals>>,
    val departed: Map<OrganisationId, UsageTotals>,
    val reportedTotals: Map<OrganisationId, UsageTotals>,
) {
    init {
        for ((organisation, reported) in reportedTotals) {
            val counted = includedTotal(organisation)
            check(counted == reported) { "figures of $organisation add up to $reported but include $counted" }
        }
    }

    /** True if the figures up to this window contain everything that [usage] counted for this shard's organisations. */
    fun includesAll(
        usage: VmUsage,
        shards: Int,
    ): Boolean {
        val own = usage.organisations.filterKeys { UsageNames.shard(it, shards) == shard }
        return own.all { (organisation, book) -> included[usage.name]?.get(organisation) == book.total }
    }

    private fun includedTotal(organisation: OrganisationId): UsageTotals {
        val present = UsageTotals.sum(included.values.mapNotNull { it[organisation] })
        return present + (departed[organisation] ?: UsageTotals.ZERO)
    }
}
