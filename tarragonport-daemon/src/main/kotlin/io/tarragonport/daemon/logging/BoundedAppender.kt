package io.tarragonport.daemon.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines on a thread of its own and never blocks: lines that find [QUEUE_LINES] waiting are dropped and counted.
 */
class BoundedAppender : AsyncAppender() {
    init {
        queueSize = QUEUE_LINES
        discardingThreshold = 0
        isNeverBlock = true
        maxFlushTime = FLUSH_MS
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) DROPPED.incrementAndGet()
        super.append(event)
    }

    companion object {
        /** Two seconds of lines at the rate that a gateway allows itself; about one megabyte. */
        const val QUEUE_LINES = 1_000

        /** Time for the lines that wait when the process ends. */
        private const val FLUSH_MS = 200

        private val DROPPED = AtomicLong()

        /** Lines dropped since the start of the process. */
        val droppedLines: Long get() = DROPPED.get()
    }
}
