package io.tarragonport.tool.capacity

import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit

/** Measures messages, CPU time and memory of rate limiting for several numbers of organisations active on a VM. */
class LimitMeasurements(
    private val seed: Int,
    private val sizes: List<Int> = listOf(10, 100, 300, 650),
) {
    fun all(): List<Series> {
        simulate(sizes.last())
        val runs = sizes.associateWith { simulate(it) }
        return listOf(
            series(
                "limit reports and shares of a VM on which every organisation is active",
                "bytes/s",
                LIMIT_BYTES_PER_SECOND,
            ) {
                runs.getValue(it).bytes / SECONDS
            },
            series("CPU of limits per VM, codec included", "% of a core", ProbeBounds.CPU_CORE_PERCENT) {
                PERCENT * runs.getValue(it).processorNanoseconds / NANOSECONDS_PER_SECOND / SECONDS
            },
            series("limits in memory", "bytes", ProbeBounds.MEMORY_BYTES) {
                HeapMeter.retained { simulate(it) }.toDouble()
            },
        )
    }

    private fun simulate(organisations: Int): SimulatedLimits {
        val limits = SimulatedLimits(organisations, seed)
        limits.run(WARM_UP)
        limits.reset()
        limits.run(DURATION)
        return limits
    }

    private fun series(
        mechanism: String,
        unit: String,
        bound: Double,
        measure: (Int) -> Double,
    ) = Series(mechanism, unit, "organisations", sizes.map { Measurement(it, measure(it)) }, sizes.last(), bound)

    private companion object {
        /** Design limit of the traffic of limit reports and shares of one VM. */
        const val LIMIT_BYTES_PER_SECOND = 1_500.0

        const val PERCENT = 100.0
        const val NANOSECONDS_PER_SECOND = 1e9
        val WARM_UP = 4.minutes
        val DURATION = 4.minutes
        val SECONDS = DURATION.toDouble(DurationUnit.SECONDS)
    }
}
