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
 * organisations active on each: decodes the objects of all VMs, closes the window and encodes the result. Reports are
 * not included.
 */
class UsageWindowMeasurements(
    private val sizes: List<Int> = listOf(7, 50, 200, 410),
) {
    fun all(): List<Series> {
        val closings = sizes.associateWith { WindowClosing(it) }
        repeat(WARM_UP) { closings.getValue(sizes.first()).run() }
        return listOf(
            series("CPU of the holder of a usage shard", "% of a core", ProbeBounds.CPU_CORE_PERCENT) {
                PERCENT * closings.getValue(it).run() / NANOSECONDS_PER_SECOND / WINDOW_SECONDS
            },
            series("bytes read by the holder of a usage shard in a window", "bytes", null) {
                closings.getValue(it).objects.sumOf { text -> text.length.toDouble() }
            },
            series("usage object of one VM", "bytes", ProbeBounds.OBJECT_BYTES) {
                closings
                    .getValue(it)
                    .objects
                    .maxOf { text -> text.length }
                    .toDouble()
            },
            series("fixed window object of a usage shard", "bytes", ProbeBounds.OBJECT_BYTES) {
                closings
                    .getValue(it)
                    .encoded.length
                    .toDouble()
            },
            series("holder of a usage shard in memory", "bytes", ProbeBounds.MEMORY_BYTES) { vms ->
                val closing = closings.getValue(vms)
                HeapMeter.retained { closing.decoded() to closing.close(closing.decoded()) }.toDouble()
            },
        )
    }

    private class WindowClosing(
        vms: Int,
    ) {
        val objects = List(vms) { WireJson.encodeToString(VmUsage.serializer(), usage(it)) }
        var encoded = ""

        /** Closes one window and returns the CPU time in nanoseconds. */
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
        const val WARM_UP = 20
        const val PERCENT = 100.0
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
