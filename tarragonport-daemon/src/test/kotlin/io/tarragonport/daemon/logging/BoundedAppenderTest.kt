package io.tarragonport.daemon.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import org.slf4j.Logger
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Guards against a blocked log output that blocks the threads that log. */
class BoundedAppenderTest {
    @Test
    fun `logging does not block when the output is blocked and dropped lines are counted`() {
        val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
        val blocked = CountDownLatch(1)
        val stuck =
            object : AppenderBase<ILoggingEvent>() {
                override fun append(event: ILoggingEvent) = blocked.await()
            }
        stuck.context = context
        stuck.start()
        val appender = BoundedAppender()
        appender.context = context
        appender.addAppender(stuck)
        appender.start()
        val logger = context.getLogger(Logger.ROOT_LOGGER_NAME)
        logger.level = Level.INFO
        logger.addAppender(appender)
        // The writer thread holds lines that it has taken from the queue, in addition to the queued ones.
        val before = BoundedAppender.droppedLines
        val taken = measureTime { repeat(BoundedAppender.QUEUE_LINES * 4) { logger.info("line {}", it) } }
        blocked.countDown()
        assertTrue(taken < 2.seconds, "$taken")
        val dropped = BoundedAppender.droppedLines - before
        assertTrue(dropped >= BoundedAppender.QUEUE_LINES, "$dropped lines were dropped")
    }
}
