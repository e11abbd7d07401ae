package io.tarragonport.tool.bench

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.style.Styler
import java.util.Base64

/** Renders the HTML report with charts that compare the policies in each scenario, and with the table of medians. */
object BenchReport {
    fun html(
        summaries: List<BenchSummary>,
        quickClass: String,
    ): String {
        val scenarios = summaries.groupBy { it.scenario }
        val charts = scenarios.entries.joinToString("\n") { (scenario, rows) -> section(scenario, rows, quickClass) }
        val table = escape(BenchTable.text(summaries, quickClass))
        return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Policy bench</title></head>" +
            "<body><h1>Policy bench</h1>\n$charts\n<h2>Medians</h2><pre>$table</pre></body></html>\n"
    }

    private fun section(
        scenario: String,
        rows: List<BenchSummary>,
        quickClass: String,
    ): String {
        val charts =
            listOf(
                chart("share of $quickClass requests in time", rows) { it.attainment(quickClass) },
                chart("responses in time per second", rows) { it.goodput },
                chart("share of wasted work", rows) { it.wastedWork },
            )
        return "<h2>$scenario</h2>\n" + charts.joinToString("\n") { image(it) }
    }

    private fun chart(
        title: String,
        rows: List<BenchSummary>,
        metric: (BenchSummary) -> Double,
    ): CategoryChart {
        val chart =
            CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("load")
                .build()
        chart.styler.legendPosition = Styler.LegendPosition.OutsideS
        chart.styler.legendLayout = Styler.LegendLayout.Horizontal
        rows.groupBy { it.policy }.forEach { (policy, policySummaries) ->
            val byLoad = policySummaries.sortedBy { it.load }
            chart.addSeries(policy, byLoad.map { it.load }, byLoad.map { metric(it) })
        }
        return chart
    }

    private fun image(chart: CategoryChart): String {
        val bytes = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG)
        return "<img alt=\"${chart.title}\" src=\"data:image/png;base64,${Base64.getEncoder().encodeToString(bytes)}\">"
    }

    private fun escape(text: String) = text.replace("&", "&amp;").replace("<", "&lt;")

    private const val WIDTH = 460
    private const val HEIGHT = 320
}
