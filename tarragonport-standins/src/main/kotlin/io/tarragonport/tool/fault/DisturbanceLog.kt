package io.tarragonport.tool.fault

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** The spans in which one part of a fleet was disturbed. Safe to use from several threads. */
class DisturbanceLog {
    private val spans = mutableListOf<Disturbance>()

    /** All spans so far. */
    val all: List<Disturbance> @Synchronized get() = spans.toList()

    /** Notes a disturbance from now until the returned span is ended. */
    @Synchronized
    fun begin(kind: String): Disturbance = Disturbance(kind, TimeSource.Monotonic.markNow()).also { spans += it }

    /** True if a disturbance of one of [kinds], or of any kind if it is null, overlaps the span from [from] to now. */
    @Synchronized
    fun anySince(
        from: ComparableTimeMark,
        kinds: Set<String>? = null,
    ): Boolean = spans.any { (kinds == null || it.kind in kinds) && (it.end?.let { end -> end >= from } ?: true) }
}
