package io.tarragonport.tool.capacity

import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit

/** Measures messages, CPU time and memory of rate limiting for several numbers of organisations active on a VM. */
class LimitMeasurements(
    private val seed: Int,
    private val sizes: List<Int> = listOf(10, 100, 300, 650),
) {
    fun measureAll(): List<Series> {
        simulatedLimits(sizes.last())
        val limitsBySize = sizes.associateWith { simulatedLimits(it) }
        return listOf(
            series(
                "limit reports and shares of a VM on which every organisation is active",
                "bytes/s",
                LIMIT_BYTES_PER_SECOND,
            ) {
                limitsBySize.getValue(it).bytes / DURATION_SECONDS
            },
            series("CPU of limits per VM, including the codec", "% of a core", ProbeBounds.CPU_CORE_PERCENT) {
                PERCENT * limitsBySize.getValue(it).cpuNanoseconds / NANOSECONDS_PER_SECOND / DURATION_SECONDS
            },
            series("limits in memory", "bytes", ProbeBounds.MEMORY_BYTES) {
                HeapMeter.retained { simulatedLimits(it) }.toDouble()
            },
        )
    }

    private fun simulatedLimits(organisations: Int): SimulatedLimits {
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
        val DURATION_SECONDS = DURATION.toDouble(DurationUnit.SECONDS)
    }
}
