package io.tarragonport.tool.fault

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Records the intervals in which one component of a fleet was disturbed. Thread-safe. */
class DisturbanceLog {
    private val disturbances = mutableListOf<Disturbance>()

    /** All disturbances recorded so far, ended or not. */
    val all: List<Disturbance> @Synchronized get() = disturbances.toList()

    /** Records a disturbance from now until [Disturbance.finish] is called on the result. */
    @Synchronized
    fun begin(kind: String): Disturbance = Disturbance(kind, TimeSource.Monotonic.markNow()).also { disturbances += it }

    /** True if a disturbance of one of [kinds] (null: any kind) overlaps the interval from [from] to now. */
    @Synchronized
    fun anySince(
        from: ComparableTimeMark,
        kinds: Set<String>? = null,
    ): Boolean =
        disturbances.any { (kinds == null || it.kind in kinds) && (it.end?.let { end -> end >= from } ?: true) }
}
