package io.tarragonport.tool.capacity

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.Locale

/** Formats series as text and as JSON. */
object ProbeReport {
    private val json = Json { prettyPrint = true }

    fun text(series: List<Series>): String = series.joinToString("\n\n", transform = ::text)

    fun json(series: List<Series>): String = json.encodeToString(series.map(::toEntry))

    private fun text(series: Series): String {
        val points =
            series.points.joinToString("\n") {
                "  %6d %s: %s".formatWith(it.size, series.sizeUnit, formatNumber(it.value))
            }
        val fit =
            "  slope %s ± %s (standard error) per %s, intercept %s"
                .formatWith(
                    formatNumber(series.slope),
                    formatNumber(series.slopeStandardError),
                    series.sizeUnit,
                    formatNumber(series.intercept),
                )
        return listOfNotNull("${series.mechanism} [${series.unit}]", points, fit, verdict(series)).joinToString("\n")
    }

    private fun verdict(series: Series): String? {
        val bound = series.bound ?: return null
        val verdict = if (series.withinBound == true) "within" else "ABOVE"
        return "  at %d: %s, %s the limit of %s"
            .formatWith(
                series.designSize,
                formatNumber(series.atDesignSize ?: Double.NaN),
                verdict,
                formatNumber(bound),
            )
    }

    private fun formatNumber(value: Double): String =
        if (value >= MINIMUM_WITHOUT_DECIMALS) "%,.0f".formatWith(value) else "%.4g".formatWith(value)

    private fun String.formatWith(vararg values: Any?): String = String.format(Locale.ROOT, this, *values)

    private fun toEntry(series: Series) =
        Entry(
            series.mechanism,
            series.unit,
            series.sizeUnit,
            series.points,
            series.slope,
            series.slopeStandardError,
            series.intercept,
            series.atDesignSize,
            series.bound,
            series.withinBound,
        )

    @Serializable
    private data class Entry(
        val mechanism: String,
        val unit: String,
        val size: String,
        val points: List<Measurement>,
        val slope: Double,
        val slopeStandardError: Double,
        val intercept: Double,
        val atDesignSize: Double?,
        val bound: Double?,
        val withinBound: Boolean?,
    )

    /** Values from this size on are printed without decimals. */
    private const val MINIMUM_WITHOUT_DECIMALS = 1_000.0
}
