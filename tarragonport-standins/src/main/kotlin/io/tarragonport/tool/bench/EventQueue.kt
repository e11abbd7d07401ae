package io.tarragonport.tool.bench

import java.util.PriorityQueue

/** Events of a run, ordered by time and then by the order of scheduling. */
class EventQueue(
    private val clock: VirtualClock,
) {
    private class Event(
        val timeNanos: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.timeNanos }, { it.sequence }))
    private var sequence = 0L

    fun after(
        milliseconds: Double,
        action: () -> Unit,
    ) = at(clock.nanos + (milliseconds * VirtualClock.NANOS_PER_MS).toLong(), action)

    /** Runs [action] every [milliseconds] until [untilSeconds] of virtual time. */
    fun every(
        milliseconds: Double,
        untilSeconds: Double,
        action: () -> Unit,
    ) {
        after(milliseconds) {
            action()
            if (clock.seconds < untilSeconds) every(milliseconds, untilSeconds, action)
        }
    }

    fun atSeconds(
        seconds: Double,
        action: () -> Unit,
    ) = at((seconds * VirtualClock.NANOS_PER_SECOND).toLong(), action)

    /** Runs all events up to and including [untilSeconds]. */
    fun run(untilSeconds: Double) {
        val endNanos = (untilSeconds * VirtualClock.NANOS_PER_SECOND).toLong()
        while (events.isNotEmpty() && events.peek().timeNanos <= endNanos) {
            val event = events.poll()
            clock.advanceTo(event.timeNanos)
            event.action()
        }
    }

    private fun at(
        timeNanos: Long,
        action: () -> Unit,
    ) {
        sequence++
        events.add(Event(timeNanos, sequence, action))
    }
}
