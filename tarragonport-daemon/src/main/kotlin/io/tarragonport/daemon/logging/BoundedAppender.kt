package io.tarragonport.daemon.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines on a separate thread and never blocks callers: when [QUEUE_LINES] lines are queued, further lines
 * are dropped and counted.
 */
class BoundedAppender : AsyncAppender() {
    init {
        queueSize = QUEUE_LINES
        discardingThreshold = 0
        isNeverBlock = true
        maxFlushTime = FLUSH_TIMEOUT_MS
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) DROPPED.incrementAndGet()
        super.append(event)
    }

    companion object {
        /** Two seconds of lines at the rate limit of the gateway; about one megabyte. */
        const val QUEUE_LINES = 1_000

        /** Time limit for writing the queued lines when the process ends. */
        private const val FLUSH_TIMEOUT_MS = 200

        private val DROPPED = AtomicLong()

        /** Lines dropped since the start of the process. */
        val droppedLines: Long get() = DROPPED.get()
    }
}
