package io.tarragonport.daemon.lease

import kotlin.time.AbstractLongTimeSource
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** A monotonic clock that runs at [rate] times the speed of [base]. */
class DriftingTimeSource(
    base: TimeSource,
    private val rate: Double,
) : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
    private val start = base.markNow()

    override fun read(): Long = (start.elapsedNow() * rate).inWholeNanoseconds
}
