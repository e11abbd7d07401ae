package io.tarragonport.tool.bench

import java.util.Locale

/** Formats the table of medians as plain text. */
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
        val others =
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
            summary.worstOrganisation,
            summary.cost,
            summary.cheapHarm,
            summary.longestGap,
            summary.tierInversions,
            others,
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
