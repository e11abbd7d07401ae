package io.tarragonport.tool.capacity

import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures membership and dissemination for several numbers of VMs, with restarts at the rate the design assumes. */
class FleetMeasurements(
    private val seed: Int,
    private val sizes: List<Int> = listOf(7, 50, 200, 410),
) {
    fun all(): List<Series> {
        SimulatedFleet(WARM_UP_SIZE, seed).run(WARM_UP * 10)
        val runs = sizes.associateWith(::measureTraffic)
        return listOf(
            series("peer frames, all kinds, mean size", "bytes", null) { runs.getValue(it).frameBytes },
            series("largest probe frame", "bytes", null) { runs.getValue(it).largestProbe },
            series("peer messages sent per VM", "bytes/s", ProbeBounds.BYTES_PER_SECOND) {
                runs.getValue(it).bytesPerSecond
            },
            series("CPU of membership per VM, codec included", "% of a core", ProbeBounds.CPU_CORE_PERCENT) {
                runs.getValue(it).corePercent
            },
            series("member table in memory", "bytes", ProbeBounds.MEMORY_BYTES, ::tableMemory),
            series(
                "change known everywhere, mean",
                "s",
                ProbeBounds.PROPAGATION_SECONDS,
            ) { runs.getValue(it).meanPropagation },
            series("change known everywhere, worst", "s", ProbeBounds.PROPAGATION_SECONDS) {
                runs.getValue(it).worstPropagation
            },
        )
    }

    private fun series(
        mechanism: String,
        unit: String,
        bound: Double?,
        measure: (Int) -> Double,
    ) = Series(mechanism, unit, "VMs", sizes.map { Measurement(it, measure(it)) }, sizes.last(), bound)

    private fun measureTraffic(size: Int): FleetTraffic {
        val fleet = SimulatedFleet(size, seed)
        run(fleet, size, WARM_UP)
        fleet.bytes = 0
        fleet.frames = 0
        val threads = ManagementFactory.getThreadMXBean()
        val before = threads.currentThreadCpuTime
        run(fleet, size, DURATION)
        val cpu = threads.currentThreadCpuTime - before
        val vmSeconds = size * DURATION.toDouble(DurationUnit.SECONDS)
        val bytes = fleet.bytes.toDouble()
        val frames = fleet.frames
        val propagationTimes = List(CHANGES) { fleet.disseminate(PROPAGATION_TIMEOUT).toDouble(DurationUnit.SECONDS) }
        return FleetTraffic(
            frameBytes = bytes / frames,
            largestProbe = fleet.largestProbe.toDouble(),
            bytesPerSecond = bytes / vmSeconds,
            corePercent = 100.0 * cpu / NANOSECONDS_PER_SECOND / vmSeconds,
            meanPropagation = propagationTimes.average(),
            worstPropagation = propagationTimes.max(),
        )
    }

    /**
     * Runs the fleet with a demand that changes every second and with the restart rate that the design assumes for
     * [size] VMs.
     */
    private fun run(
        fleet: SimulatedFleet,
        size: Int,
        duration: Duration,
    ) {
        var restarts = 0.0
        repeat((duration / DEMAND_INTERVAL).toInt()) {
            fleet.reportDemand()
            restarts += size * RESTARTS_PER_VM_AND_SECOND * DEMAND_INTERVAL.toDouble(DurationUnit.SECONDS)
            while (restarts >= 1) {
                fleet.restartOne()
                restarts -= 1
            }
            fleet.run(DEMAND_INTERVAL)
        }
    }

    private fun tableMemory(size: Int): Double {
        val copies = List(TABLE_COPIES) { size }
        return HeapMeter.retained { copies.map(SimulatedFleet::table) }.toDouble() / TABLE_COPIES
    }

    private class FleetTraffic(
        val frameBytes: Double,
        val largestProbe: Double,
        val bytesPerSecond: Double,
        val corePercent: Double,
        val meanPropagation: Double,
        val worstPropagation: Double,
    )

    private companion object {
        const val WARM_UP_SIZE = 7
        const val CHANGES = 5
        const val TABLE_COPIES = 20
        const val NANOSECONDS_PER_SECOND = 1e9

        // 4,300 restarts and 190 failures a day in a fleet of 410 VMs.
        const val RESTARTS_PER_VM_AND_SECOND = 4_490.0 / 410 / 86_400
        val WARM_UP = 30.seconds
        val DURATION = 60.seconds
        val DEMAND_INTERVAL = 1.seconds
        val PROPAGATION_TIMEOUT = 60.seconds
    }
}
