package io.tarragonport.tool.fault

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** An interval in which a fault affected a VM or the store; [end] is null while it lasts. */
class Disturbance(
    val kind: String,
    val start: ComparableTimeMark,
) {
    @Volatile
    var end: ComparableTimeMark? = null
        private set

    fun finish() {
        end = TimeSource.Monotonic.markNow()
    }

    companion object {
        const val KILLED = "killed"
        const val FROZEN = "frozen"
        const val CUT = "cut"
        const val RESTARTED = "restarted"
    }
}
