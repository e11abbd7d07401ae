package io.tarragonport.core.usage

import io.tarragonport.api.id.UsageWindow
import kotlinx.serialization.Serializable

/**
 * Usage of one organisation counted by one process: the [total] since its start and the latest windows with traffic.
 *
 * [recent] has the latest window first and at most [RETAINED_WINDOWS] windows, so the size does not grow during an
 * outage. [forgotten] is the latest window that was removed from [recent].
 */
@Serializable
data class OrganisationUsage(
    val total: UsageTotals = UsageTotals.ZERO,
    val recent: List<WindowAmount> = emptyList(),
    val forgotten: UsageWindow? = null,
) {
    /** Adds [amount] to [window], or to the latest window if the clock went back. */
    fun add(
        window: UsageWindow,
        amount: UsageTotals,
    ): OrganisationUsage {
        require(amount.covers(UsageTotals.ZERO)) { "negative amount $amount" }
        val newest = recent.firstOrNull()
        if (newest == null || window > newest.window) {
            return open(window, amount)
        }
        val increased = newest.copy(amount = newest.amount + amount)
        return copy(total = total + amount, recent = listOf(increased) + recent.drop(1))
    }

    /**
     * The total at the end of [window], or null if it cannot be derived from the retained windows.
     *
     * It excludes all usage after [window].
     */
    fun totalThrough(window: UsageWindow): UsageTotals? {
        if (forgotten != null && forgotten > window) {
            return null
        }
        val after = recent.filter { it.window > window }
        return total - UsageTotals.sum(after.map { it.amount })
    }

    /** The amount counted in [window]; zero if it had no traffic or is no longer retained. */
    fun amountIn(window: UsageWindow): UsageTotals =
        recent.firstOrNull { it.window == window }?.amount ?: UsageTotals.ZERO

    /** The usage without [flushed], which another object contains; the remainder is in the latest window. */
    fun without(flushed: UsageTotals): OrganisationUsage {
        check(total.covers(flushed)) { "flushed $flushed exceeds the total $total" }
        val remainder = total - flushed
        if (remainder == UsageTotals.ZERO) {
            return OrganisationUsage()
        }
        return OrganisationUsage(total = remainder, recent = listOf(WindowAmount(recent.first().window, remainder)))
    }

    private fun open(
        window: UsageWindow,
        amount: UsageTotals,
    ): OrganisationUsage {
        val windows = listOf(WindowAmount(window, amount)) + recent
        return OrganisationUsage(
            total = total + amount,
            recent = windows.take(RETAINED_WINDOWS),
            forgotten = windows.getOrNull(RETAINED_WINDOWS)?.window ?: forgotten,
        )
    }

    companion object {
        /**
         * Number of retained windows. If a lease holder closes a window more than this many windows after its end, the
         * tokens of that window are counted as late in a later window.
         */
        const val RETAINED_WINDOWS = 3
    }
}
