package io.tarragonport.tool.bench

import java.util.Locale

/**
 * Formats the table of medians as plain text.
 *
 * The columns after the policy are the share of requests of the quick class in time, requests in time per second, the
 * share of wasted work, the relative service of the worst-served organisation, the cost per response in time, the share
 * of requests that missed their deadline or target after a reclaim, the longest service gap in seconds, the number of
 * tier inversions, and the share of requests in time of each other class.
 */
object BenchTable {
    fun text(
        summaries: List<BenchSummary>,
        quickClass: String,
    ): String {
        val header = "%-23s %4s %-18s %7s %7s %7s %7s %7s %7s %7s %5s %s".format(Locale.ROOT, *HEADINGS)
        return (listOf(header) + summaries.map { row(it, quickClass) }).joinToString("\n")
    }

    private fun row(
        summary: BenchSummary,
        quickClass: String,
    ): String {
        val otherClasses =
            summary.classes.filter { it != quickClass }.joinToString(
                " ",
            ) { "$it=${decimal(summary.attainment(it))}" }
        return "%-23s %4.1f %-18s %7.3f %7.2f %7.3f %7.3f %7.3f %7.3f %7.1f %5.0f %s".format(
            Locale.ROOT,
            summary.scenario,
            summary.load,
            summary.policy,
            summary.attainment(quickClass),
            summary.goodput,
            summary.wastedWork,
            summary.worstRelativeService,
            summary.costPerInTimeResponse,
            summary.missedAfterReclaim,
            summary.longestGapSeconds,
            summary.tierInversions,
            otherClasses,
        )
    }

    private fun decimal(value: Double) = "%.2f".format(Locale.ROOT, value)

    private val HEADINGS =
        arrayOf(
            "scenario",
            "load",
            "policy",
            "quick",
            "good/s",
            "wasted",
            "worst",
            "cost",
            "harm",
            "gap_s",
            "inv",
            "others",
        )
}
