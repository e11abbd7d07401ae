package io.tarragonport.tool.bench

import kotlin.time.AbstractLongTimeSource
import kotlin.time.DurationUnit

/** Virtual clock of a run; advances only when the event queue executes the next event. */
class VirtualClock : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
    /** Nanoseconds since the start of the run. */
    var nanos: Long = 0
        private set

    val seconds: Double
        get() = nanos / NANOS_PER_SECOND

    override fun read(): Long = nanos

    fun advanceTo(time: Long) {
        require(time >= nanos) { "virtual time cannot go back from $nanos ns to $time ns" }
        nanos = time
    }

    companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MS = 1e6
    }
}
