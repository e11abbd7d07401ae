package io.tarragonport.core.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow

/**
 * Computes the figures of [window] of [shard] from [previous], the closed window before it.
 *
 * [previous] is null only for the first window of the shard.
 */
class WindowClose(
    private val shard: Int,
    private val shards: Int,
    private val window: UsageWindow,
    private val previous: ClosedWindow?,
) {
    init {
        check(previous == null || previous.window.value == window.value - 1) {
            "window $window does not directly follow ${previous?.window}"
        }
    }

    /** Closes the window with the usage in [objects], which must have been read after [previous]. */
    fun close(objects: List<VmUsage>): ClosedWindow {
        val byObject = objects.associate { it.name to contributions(it) }
        val figures = figuresOf(byObject.values)
        return ClosedWindow(
            shard = shard,
            window = window,
            figures = figures,
            included =
                byObject
                    .mapValues { (_, byOrganisation) ->
                        byOrganisation.mapValues { it.value.included }
                    }.filterValues { it.isNotEmpty() },
            departed = departed(byObject.keys),
            reportedTotals = add(previous?.reportedTotals.orEmpty(), figures.mapValues { it.value.total }),
        )
    }

    private fun contributions(usage: VmUsage): Map<OrganisationId, Contribution> {
        val included = previous?.included?.get(usage.name).orEmpty()
        return usage.organisations
            .filterKeys { UsageNames.shard(it, shards) == shard }
            .mapValues { (organisation, counts) -> contribution(counts, included[organisation] ?: UsageTotals.ZERO) }
    }

    private fun contribution(
        counts: OrganisationUsage,
        included: UsageTotals,
    ): Contribution {
        check(counts.total.covers(included)) { "total ${counts.total} is below the already included total $included" }
        val totalThroughWindow = counts.totalThrough(window)
        if (totalThroughWindow == null || !totalThroughWindow.covers(included)) {
            return Contribution(included, UsageTotals.ZERO, UsageTotals.ZERO)
        }
        val figure = totalThroughWindow - included
        val inWindow = counts.amountIn(window)
        val late = if (figure.covers(inWindow)) figure - inWindow else UsageTotals.ZERO
        return Contribution(totalThroughWindow, figure, late)
    }

    private fun figuresOf(perObject: Collection<Map<OrganisationId, Contribution>>): Map<OrganisationId, UsageFigure> {
        val figures = sortedMapOf<OrganisationId, UsageFigure>(compareBy { it.value })
        for ((organisation, contribution) in perObject.flatMap { it.entries }) {
            val sum = figures[organisation] ?: UsageFigure(UsageTotals.ZERO, UsageTotals.ZERO)
            figures[organisation] = UsageFigure(sum.total + contribution.figure, sum.late + contribution.late)
        }
        return figures.filterValues { it.total != UsageTotals.ZERO }
    }

    private fun departed(present: Set<String>): Map<OrganisationId, UsageTotals> {
        val deleted = previous?.included.orEmpty().filterKeys { it !in present }
        return deleted.values.fold(previous?.departed.orEmpty(), ::add)
    }

    private fun add(
        first: Map<OrganisationId, UsageTotals>,
        second: Map<OrganisationId, UsageTotals>,
    ): Map<OrganisationId, UsageTotals> =
        (first.keys + second.keys).associateWith {
            (first[it] ?: UsageTotals.ZERO) + (second[it] ?: UsageTotals.ZERO)
        }

    /** Contribution of one process object to the figure of one organisation. */
    private class Contribution(
        val included: UsageTotals,
        val figure: UsageTotals,
        val late: UsageTotals,
    )
}
