package io.tarragonport.core.usage

import kotlinx.serialization.Serializable

/** Counted tokens and requests. */
@Serializable
data class UsageTotals(
    val promptTokens: Long = 0,
    val generatedTokens: Long = 0,
    val requests: Long = 0,
) {
    operator fun plus(other: UsageTotals) =
        UsageTotals(
            promptTokens + other.promptTokens,
            generatedTokens + other.generatedTokens,
            requests + other.requests,
        )

    operator fun minus(other: UsageTotals) =
        UsageTotals(
            promptTokens - other.promptTokens,
            generatedTokens - other.generatedTokens,
            requests - other.requests,
        )

    /** True if no count is below that of [other]. */
    fun covers(other: UsageTotals): Boolean =
        promptTokens >= other.promptTokens &&
            generatedTokens >= other.generatedTokens &&
            requests >= other.requests

    companion object {
        val ZERO = UsageTotals()

        /** Adds up [totals]. */
        fun sum(totals: Iterable<UsageTotals>): UsageTotals = totals.fold(ZERO, UsageTotals::plus)
    }
}
