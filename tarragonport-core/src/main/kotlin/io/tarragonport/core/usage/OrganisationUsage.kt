package io.tarragonport.core.usage

import io.tarragonport.api.id.UsageWindow
import kotlinx.serialization.Serializable

/**
 * Count of one organisation in one process: the [total] since process start and the newest windows that had traffic.
 *
 * [recent] has the newest window first and at most [HISTORY] windows, so the size does not grow during an outage.
 * [forgotten] is the newest window that left [recent].
 */
@Serializable
data class OrganisationUsage(
    val total: UsageTotals = UsageTotals.ZERO,
    val recent: List<WindowAmount> = emptyList(),
    val forgotten: UsageWindow? = null,
) {
    /** Adds [amount] in [window]; if the clock went back, in the newest window known. */
    fun add(
        window: UsageWindow,
        amount: UsageTotals,
    ): OrganisationUsage {
        require(amount.covers(UsageTotals.ZERO)) { "negative amount $amount" }
        val newest = recent.firstOrNull()
        if (newest == null || window > newest.window) {
            return open(window, amount)
        }
        val grown = newest.copy(amount = newest.amount + amount)
        return copy(total = total + amount, recent = listOf(grown) + recent.drop(1))
    }

    /**
     * The total at the end of [window], or null if the windows kept do not tell it.
     *
     * It counts nothing that was served after [window].
     */
    fun totalThrough(window: UsageWindow): UsageTotals? {
        if (forgotten != null && forgotten > window) {
            return null
        }
        val after = recent.filter { it.window > window }
        return total - UsageTotals.sum(after.map { it.amount })
    }

    /** The amount counted in [window]; zero if it had no traffic or is no longer kept. */
    fun amountIn(window: UsageWindow): UsageTotals =
        recent.firstOrNull { it.window == window }?.amount ?: UsageTotals.ZERO

    /** The count without [flushed], which another object contains; the rest stays in the newest window. */
    fun without(flushed: UsageTotals): OrganisationUsage {
        check(total.covers(flushed)) { "flushed $flushed exceeds the total $total" }
        val rest = total - flushed
        if (rest == UsageTotals.ZERO) {
            return OrganisationUsage()
        }
        return OrganisationUsage(total = rest, recent = listOf(WindowAmount(recent.first().window, rest)))
    }

    private fun open(
        window: UsageWindow,
        amount: UsageTotals,
    ): OrganisationUsage {
        val windows = listOf(WindowAmount(window, amount)) + recent
        return OrganisationUsage(
            total = total + amount,
            recent = windows.take(HISTORY),
            forgotten = windows.getOrNull(HISTORY)?.window ?: forgotten,
        )
    }

    companion object {
        /**
         * Windows kept. A holder that closes a window later than this many windows after its end counts the tokens in
         * a later window, as late.
         */
        const val HISTORY = 3
    }
}
