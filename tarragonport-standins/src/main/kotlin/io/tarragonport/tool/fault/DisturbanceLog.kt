package io.tarragonport.tool.fault

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Records the intervals in which one component of a fleet was disturbed. Thread-safe. */
class DisturbanceLog {
    private val recorded = mutableListOf<Disturbance>()

    /** The disturbances recorded so far, whether they have ended or not. */
    val disturbances: List<Disturbance> @Synchronized get() = recorded.toList()

    /** Records a disturbance from now until [Disturbance.finish] is called on the result. */
    @Synchronized
    fun begin(kind: String): Disturbance = Disturbance(kind, TimeSource.Monotonic.markNow()).also { recorded += it }

    /** True if a disturbance of one of [kinds] (null: any kind) overlaps the interval from [from] to now. */
    @Synchronized
    fun anySince(
        from: ComparableTimeMark,
        kinds: Set<String>? = null,
    ): Boolean = recorded.any { (kinds == null || it.kind in kinds) && (it.end?.let { end -> end >= from } ?: true) }
}
