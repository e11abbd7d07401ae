package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.core.configuration.ConfigurationAssembler
import io.tarragonport.core.configuration.SectionCodec
import io.tarragonport.core.configuration.SectionContent
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import kotlin.time.measureTime

/** Measures size, memory and update time of the configuration for several numbers of organisations. */
class ConfigurationMeasurements(
    private val sizes: List<Int> = listOf(10, 100, 650),
) {
    fun all(): List<Series> =
        listOf(
            series("configuration in memory", "bytes", ProbeBounds.MEMORY_BYTES, ::memory),
            series("largest section object", "bytes", ProbeBounds.OBJECT_BYTES, ::largestSection),
            series("key shard object", "bytes", ProbeBounds.OBJECT_BYTES) { sectionBytes(it, SectionName.keyShard(0)) },
            series("applying a key withdrawal", "ms", null, ::applyTime),
        )

    private fun series(
        mechanism: String,
        unit: String,
        bound: Double?,
        measure: (Int) -> Double,
    ) = Series(mechanism, unit, "organisations", sizes.map { Measurement(it, measure(it)) }, DESIGN_SIZE, bound)

    private fun assembler(organisations: Int): ConfigurationAssembler {
        val assembler = ConfigurationAssembler(TimeSource.Monotonic)
        SectionCodec.split(SampleConfiguration.of(organisations)).forEach { (section, text) ->
            assembler.offer(section, ObjectVersion(1), text)
        }
        return assembler
    }

    private fun memory(organisations: Int): Double {
        assembler(organisations)
        return HeapMeter.retained { assembler(organisations) }.toDouble()
    }

    private fun largestSection(organisations: Int): Double = SectionName.ALL.maxOf { sectionBytes(organisations, it) }

    private fun sectionBytes(
        organisations: Int,
        section: SectionName,
    ): Double =
        SectionCodec
            .split(SampleConfiguration.of(organisations))
            .getValue(section)
            .encodeToByteArray()
            .size
            .toDouble()

    /** Median time until a snapshot without the withdrawn keys is published. */
    private fun applyTime(organisations: Int): Double {
        val assembler = assembler(organisations)
        val shard = SectionName.keyShard(0)
        val keys = SampleConfiguration.of(organisations).keys.filter { SectionName.keyShard(it.digest) == shard }
        val times =
            List(REPETITIONS) { round ->
                val text = SectionCodec.encode(SectionContent.Keys(keys.map { withdrawn(it, round) }))
                measureTime { assembler.offer(shard, ObjectVersion(round + 2L), text) }
            }
        return times.sorted()[REPETITIONS / 2].toDouble(DurationUnit.MILLISECONDS)
    }

    private fun withdrawn(
        key: KeyRecord,
        round: Int,
    ) = key.copy(withdrawn = round % 2 == 0)

    private companion object {
        const val DESIGN_SIZE = 650
        const val REPETITIONS = 41
    }
}
