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
    fun measureAll(): List<Series> =
        listOf(
            series("configuration in memory", "bytes", ProbeBounds.MEMORY_BYTES, ::memoryBytes),
            series("largest section object", "bytes", ProbeBounds.OBJECT_BYTES, ::largestSectionBytes),
            series("key shard object", "bytes", ProbeBounds.OBJECT_BYTES) { sectionBytes(it, SectionName.keyShard(0)) },
            series("applying a key withdrawal", "ms", null, ::applyTimeMs),
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

    private fun memoryBytes(organisations: Int): Double {
        assembler(organisations)
        return HeapMeter.retained { assembler(organisations) }.toDouble()
    }

    private fun largestSectionBytes(organisations: Int): Double =
        SectionName.ALL.maxOf { sectionBytes(organisations, it) }

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

    /** Median time to apply a key section in which all keys were withdrawn or restored, in milliseconds. */
    private fun applyTimeMs(organisations: Int): Double {
        val assembler = assembler(organisations)
        val shard = SectionName.keyShard(0)
        val keys = SampleConfiguration.of(organisations).keys.filter { SectionName.keyShard(it.digest) == shard }
        val times =
            List(REPETITIONS) { round ->
                val text = SectionCodec.encode(SectionContent.Keys(keys.map { withWithdrawal(it, round) }))
                measureTime { assembler.offer(shard, ObjectVersion(round + 2L), text) }
            }
        return times.sorted()[REPETITIONS / 2].toDouble(DurationUnit.MILLISECONDS)
    }

    /** [key], withdrawn in even rounds and valid in odd ones, so that each round changes the section. */
    private fun withWithdrawal(
        key: KeyRecord,
        round: Int,
    ) = key.copy(withdrawn = round % 2 == 0)

    private companion object {
        const val DESIGN_SIZE = 650
        const val REPETITIONS = 41
    }
}
