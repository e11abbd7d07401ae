package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.id.VmId
import io.tarragonport.core.usage.ClosedWindow
import io.tarragonport.core.usage.OrganisationUsage
import io.tarragonport.core.usage.UsageTotals
import io.tarragonport.core.usage.VmUsage
import io.tarragonport.core.usage.WindowClose
import java.lang.management.ManagementFactory

/**
 * Measures closing a usage window of one of [SHARDS] shards for several numbers of VMs, with [ORGANISATIONS]
 * organisations active on each. Closing decodes the usage objects of all VMs, closes the window and encodes the result.
 * Sending the usage reports is not included.
 */
class UsageWindowMeasurements(
    private val sizes: List<Int> = listOf(7, 50, 200, 410),
) {
    fun measureAll(): List<Series> {
        val shardsBySize = sizes.associateWith { SimulatedShard(it) }
        repeat(WARM_UP_WINDOWS) { shardsBySize.getValue(sizes.first()).run() }
        return listOf(
            series("CPU of closing the windows of a usage shard", "% of a core", ProbeBounds.CPU_CORE_PERCENT) {
                PERCENT * shardsBySize.getValue(it).run() / NANOSECONDS_PER_SECOND / WINDOW_SECONDS
            },
            series("bytes read to close one window of a usage shard", "bytes", null) {
                shardsBySize.getValue(it).usageObjects.sumOf { text -> text.length.toDouble() }
            },
            series("usage object of one VM", "bytes", ProbeBounds.OBJECT_BYTES) {
                shardsBySize
                    .getValue(it)
                    .usageObjects
                    .maxOf { text -> text.length }
                    .toDouble()
            },
            series("closed window object of a usage shard", "bytes", ProbeBounds.OBJECT_BYTES) {
                shardsBySize
                    .getValue(it)
                    .encodedWindow.length
                    .toDouble()
            },
            series("data of one window of a usage shard in memory", "bytes", ProbeBounds.MEMORY_BYTES) { vms ->
                val shard = shardsBySize.getValue(vms)
                HeapMeter.retained { shard.decoded() to shard.close(shard.decoded()) }.toDouble()
            },
        )
    }

    private class SimulatedShard(
        vms: Int,
    ) {
        val usageObjects = List(vms) { WireJson.encodeToString(VmUsage.serializer(), usage(it)) }
        var encodedWindow = ""

        /** Closes one window and returns the CPU time in nanoseconds. */
        fun run(): Double {
            val threads = ManagementFactory.getThreadMXBean()
            val cpuBefore = threads.currentThreadCpuTime
            encodedWindow = WireJson.encodeToString(ClosedWindow.serializer(), close(decoded()))
            return (threads.currentThreadCpuTime - cpuBefore).toDouble()
        }

        fun decoded(): List<VmUsage> = usageObjects.map { WireJson.decodeFromString(VmUsage.serializer(), it) }

        fun close(usage: List<VmUsage>): ClosedWindow =
            WindowClose(shard = 0, SHARDS, UsageWindow(WINDOW), previous = null).close(usage)

        private fun usage(index: Int): VmUsage {
            val amount = UsageTotals(promptTokens = 60_000, generatedTokens = 20_000, requests = 5)
            val totals =
                (WINDOW - 1..WINDOW + 1).fold(
                    OrganisationUsage(),
                ) { sum, it -> sum.add(UsageWindow(it), amount) }
            val organisations = List(ORGANISATIONS) { OrganisationId("organisation-$it") }.associateWith { totals }
            val incarnation = Incarnation(INCARNATION + index)
            return VmUsage(VmId("vm-$index"), incarnation, writtenAt = INCARNATION, organisations = organisations)
        }
    }

    private fun series(
        mechanism: String,
        unit: String,
        bound: Double?,
        measure: (Int) -> Double,
    ) = Series(mechanism, unit, "VMs", sizes.map { Measurement(it, measure(it)) }, sizes.last(), bound)

    private companion object {
        const val SHARDS = 16
        const val ORGANISATIONS = 650
        const val WINDOW = 29_939_333L
        const val WINDOW_SECONDS = 60
        const val INCARNATION = 1_796_360_000_000L
        const val WARM_UP_WINDOWS = 20
        const val PERCENT = 100.0
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
