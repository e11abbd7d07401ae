package io.tarragonport.tool.capacity

import org.apache.commons.math3.stat.regression.SimpleRegression

/**
 * Measurements of one mechanism at several sizes, with a linear fit.
 *
 * [mechanism] names what is measured, [unit] the unit of the values and [sizeUnit] the unit of the sizes. [designSize]
 * is the largest size that the design supports. [bound] is the upper limit of the value at [designSize], or null if
 * there is none.
 */
data class Series(
    val mechanism: String,
    val unit: String,
    val sizeUnit: String,
    val points: List<Measurement>,
    val designSize: Int? = null,
    val bound: Double? = null,
) {
    private val regression = SimpleRegression().apply { points.forEach { addData(it.size.toDouble(), it.value) } }

    /** Increase of the value per unit of size. */
    val slope: Double get() = regression.slope

    /** Standard error of [slope]; zero if it is not finite, as with too few points. */
    val slopeStandardError: Double get() = regression.slopeStdErr.takeIf { it.isFinite() } ?: 0.0

    val intercept: Double get() = regression.intercept

    /** Value measured at the design size, or predicted by the fit if there is no such measurement. */
    val atDesignSize: Double?
        get() =
            designSize?.let { target ->
                points.find { it.size == target }?.value ?: regression.predict(target.toDouble())
            }

    /** True if the value at the design size is within [bound]; null without a bound. */
    val withinBound: Boolean? get() = bound?.let { limit -> atDesignSize?.let { it <= limit } }
}
