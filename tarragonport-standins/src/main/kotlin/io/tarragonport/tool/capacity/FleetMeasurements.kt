package io.tarragonport.tool.capacity

import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures membership and dissemination for several numbers of VMs that restart at the rate the design assumes. */
class FleetMeasurements(
    private val seed: Int,
    private val sizes: List<Int> = listOf(7, 50, 200, 410),
) {
    fun measureAll(): List<Series> {
        SimulatedFleet(WARM_UP_SIZE, seed).run(WARM_UP * 10)
        val trafficBySize = sizes.associateWith(::measureTraffic)
        return listOf(
            series("mean size of peer frames of all kinds", "bytes", null) { trafficBySize.getValue(it).frameBytes },
            series("largest probe frame", "bytes", null) { trafficBySize.getValue(it).largestProbe },
            series("peer messages sent per VM", "bytes/s", ProbeBounds.BYTES_PER_SECOND) {
                trafficBySize.getValue(it).bytesPerSecond
            },
            series("CPU of membership per VM, including the codec", "% of a core", ProbeBounds.CPU_CORE_PERCENT) {
                trafficBySize.getValue(it).cpuCorePercent
            },
            series("member table in memory", "bytes", ProbeBounds.MEMORY_BYTES, ::memberTableBytes),
            series(
                "time until all VMs know a change, mean",
                "s",
                ProbeBounds.PROPAGATION_SECONDS,
            ) { trafficBySize.getValue(it).meanPropagationSeconds },
            series("time until all VMs know a change, maximum", "s", ProbeBounds.PROPAGATION_SECONDS) {
                trafficBySize.getValue(it).worstPropagationSeconds
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
        runWithRestarts(fleet, size, WARM_UP)
        fleet.sentBytes = 0
        fleet.sentFrames = 0
        val threads = ManagementFactory.getThreadMXBean()
        val cpuBefore = threads.currentThreadCpuTime
        runWithRestarts(fleet, size, DURATION)
        val cpuNanos = threads.currentThreadCpuTime - cpuBefore
        val vmSeconds = size * DURATION.toDouble(DurationUnit.SECONDS)
        val bytes = fleet.sentBytes.toDouble()
        val frames = fleet.sentFrames
        val propagationSeconds =
            List(MEASURED_CHANGES) {
                fleet.measureDissemination(PROPAGATION_TIMEOUT).toDouble(DurationUnit.SECONDS)
            }
        return FleetTraffic(
            frameBytes = bytes / frames,
            largestProbe = fleet.largestProbe.toDouble(),
            bytesPerSecond = bytes / vmSeconds,
            cpuCorePercent = 100.0 * cpuNanos / NANOSECONDS_PER_SECOND / vmSeconds,
            meanPropagationSeconds = propagationSeconds.average(),
            worstPropagationSeconds = propagationSeconds.max(),
        )
    }

    /**
     * Runs the fleet with a demand that changes every second and with the restart rate that the design assumes for
     * [size] VMs.
     */
    private fun runWithRestarts(
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

    private fun memberTableBytes(size: Int): Double {
        val copies = List(TABLE_COPIES) { size }
        return HeapMeter.retained { copies.map(SimulatedFleet::memberTable) }.toDouble() / TABLE_COPIES
    }

    private class FleetTraffic(
        val frameBytes: Double,
        val largestProbe: Double,
        val bytesPerSecond: Double,
        val cpuCorePercent: Double,
        val meanPropagationSeconds: Double,
        val worstPropagationSeconds: Double,
    )

    private companion object {
        const val WARM_UP_SIZE = 7
        const val MEASURED_CHANGES = 5
        const val TABLE_COPIES = 20
        const val NANOSECONDS_PER_SECOND = 1e9

        // The design assumes 4,300 restarts and 190 failures a day in a fleet of 410 VMs.
        const val RESTARTS_PER_VM_AND_SECOND = 4_490.0 / 410 / 86_400
        val WARM_UP = 30.seconds
        val DURATION = 60.seconds
        val DEMAND_INTERVAL = 1.seconds
        val PROPAGATION_TIMEOUT = 60.seconds
    }
}
