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
 * Measures closing a usage window of one of [SHARDS] shards against the number of VMs, with [ORGANISATIONS] organisations
 * active on each: the objects of all VMs are decoded, closed into figures and these encoded. Reports are not included.
 */
class UsageHolderMeasurements(
    private val sizes: List<Int> = listOf(7, 50, 200, 410),
) {
    fun all(): List<Series> {
        val small = sizes.associateWith { Closing(it) }
        repeat(WARM_UP) { small.getValue(sizes.first()).run() }
        return listOf(
            series("CPU of the holder of a usage shard", "% of a core", ProbeBounds.CORE_PERCENT) {
                PERCENT * small.getValue(it).run() / NANOSECONDS / WINDOW_SECONDS
            },
            series("bytes read by the holder of a usage shard in a window", "bytes", null) {
                small.getValue(it).objects.sumOf { text -> text.length.toDouble() }
            },
            series("usage object of one VM", "bytes", ProbeBounds.OBJECT_BYTES) {
                small
                    .getValue(it)
                    .objects
                    .maxOf { text -> text.length }
                    .toDouble()
            },
            series("fixed window object of a usage shard", "bytes", ProbeBounds.OBJECT_BYTES) {
                small
                    .getValue(it)
                    .encoded.length
                    .toDouble()
            },
            series("holder of a usage shard in memory", "bytes", ProbeBounds.MEMORY_BYTES) { vms ->
                val closing = small.getValue(vms)
                HeapMeter.retained { closing.decoded() to closing.close(closing.decoded()) }.toDouble()
            },
        )
    }

    private class Closing(
        vms: Int,
    ) {
        val objects = List(vms) { WireJson.encodeToString(VmUsage.serializer(), usage(it)) }
        var encoded = ""

        /** Processor time of one window in nanoseconds. */
        fun run(): Double {
            val threads = ManagementFactory.getThreadMXBean()
            val before = threads.currentThreadCpuTime
            encoded = WireJson.encodeToString(ClosedWindow.serializer(), close(decoded()))
            return (threads.currentThreadCpuTime - before).toDouble()
        }

        fun decoded(): List<VmUsage> = objects.map { WireJson.decodeFromString(VmUsage.serializer(), it) }

        fun close(usage: List<VmUsage>): ClosedWindow =
            WindowClose(shard = 0, SHARDS, UsageWindow(WINDOW), previous = null).close(usage)

        private fun usage(index: Int): VmUsage {
            val amount = UsageTotals(promptTokens = 60_000, generatedTokens = 20_000, requests = 5)
            val book =
                (WINDOW - 1..WINDOW + 1).fold(
                    OrganisationUsage(),
                ) { sum, it -> sum.add(UsageWindow(it), amount) }
            val organisations = List(ORGANISATIONS) { OrganisationId("organisation-$it") }.associateWith { book }
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
        const val WARM_UP = 20
        const val PERCENT = 100.0
        const val NANOSECONDS = 1e9
    }
}
