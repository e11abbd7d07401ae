package io.tarragonport.core.usage

import kotlinx.serialization.Serializable

/** The final usage of an organisation in a window; [late] is the part of [total] that was used in earlier windows. */
@Serializable
data class UsageFigure(
    val total: UsageTotals,
    val late: UsageTotals,
) {
    init {
        check(late.covers(UsageTotals.ZERO)) { "negative late part $late" }
        check(total.covers(late)) { "late part $late exceeds the figure $total" }
    }
}
