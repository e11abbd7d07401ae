package io.tarragonport.core.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow

/**
 * Computes the figures of [window] of [shard] from [previous], the fixed window before it.
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
            "window $window cannot follow ${previous?.window}"
        }
    }

    /** Closes the window over [objects], which must have been read after [previous]. */
    fun close(objects: List<VmUsage>): ClosedWindow {
        val parts = objects.associate { it.name to partsOf(it) }
        val figures = figuresOf(parts.values)
        return ClosedWindow(
            shard = shard,
            window = window,
            figures = figures,
            included =
                parts
                    .mapValues { (_, own) ->
                        own.mapValues { it.value.included }
                    }.filterValues { it.isNotEmpty() },
            departed = departed(parts.keys),
            reportedTotals = add(previous?.reportedTotals.orEmpty(), figures.mapValues { it.value.total }),
        )
    }

    private fun partsOf(usage: VmUsage): Map<OrganisationId, Part> {
        val before = previous?.included?.get(usage.name).orEmpty()
        return usage.organisations
            .filterKeys { UsageNames.shard(it, shards) == shard }
            .mapValues { (organisation, book) -> partOf(book, before[organisation] ?: UsageTotals.ZERO) }
    }

    private fun partOf(
        book: OrganisationUsage,
        before: UsageTotals,
    ): Part {
        check(book.total.covers(before)) { "total ${book.total} is below the total $before already included" }
        val through = book.totalThrough(window)
        if (through == null || !through.covers(before)) {
            return Part(before, UsageTotals.ZERO, UsageTotals.ZERO)
        }
        val figure = through - before
        val inWindow = book.amountIn(window)
        val late = if (figure.covers(inWindow)) figure - inWindow else UsageTotals.ZERO
        return Part(through, figure, late)
    }

    private fun figuresOf(parts: Collection<Map<OrganisationId, Part>>): Map<OrganisationId, UsageFigure> {
        val figures = sortedMapOf<OrganisationId, UsageFigure>(compareBy { it.value })
        for ((organisation, part) in parts.flatMap { it.entries }) {
            val sum = figures[organisation] ?: UsageFigure(UsageTotals.ZERO, UsageTotals.ZERO)
            figures[organisation] = UsageFigure(sum.total + part.figure, sum.late + part.late)
        }
        return figures.filterValues { it.total != UsageTotals.ZERO }
    }

    private fun departed(present: Set<String>): Map<OrganisationId, UsageTotals> {
        val gone = previous?.included.orEmpty().filterKeys { it !in present }
        return gone.values.fold(previous?.departed.orEmpty(), ::add)
    }

    private fun add(
        first: Map<OrganisationId, UsageTotals>,
        second: Map<OrganisationId, UsageTotals>,
    ): Map<OrganisationId, UsageTotals> =
        (first.keys + second.keys).associateWith {
            (first[it] ?: UsageTotals.ZERO) + (second[it] ?: UsageTotals.ZERO)
        }

    /** One process's share of a figure. */
    private class Part(
        val included: UsageTotals,
        val figure: UsageTotals,
        val late: UsageTotals,
    )
}
