package io.tarragonport.core.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import kotlinx.serialization.Serializable

/**
 * The final figures of one shard and window.
 *
 * [figures] has the organisations with usage. [included] has, for each process object, the totals that the figures up
 * to this window contain. When a process object is deleted, its totals are added to [departed]. [reportedTotals] is the
 * sum of the figures up to this window. The next window counts only what exceeds [included], so every counted token is
 * in exactly one figure.
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
            check(
                counted == reported,
            ) { "figures of $organisation add up to $reported but the included totals are $counted" }
        }
    }

    /** True if the figures up to this window contain all usage that [usage] counted for organisations of this shard. */
    fun includesAll(
        usage: VmUsage,
        shards: Int,
    ): Boolean {
        val countsOfShard = usage.organisations.filterKeys { UsageNames.shard(it, shards) == shard }
        return countsOfShard.all { (organisation, counts) -> included[usage.name]?.get(organisation) == counts.total }
    }

    private fun includedTotal(organisation: OrganisationId): UsageTotals {
        val present = UsageTotals.sum(included.values.mapNotNull { it[organisation] })
        return present + (departed[organisation] ?: UsageTotals.ZERO)
    }
}
