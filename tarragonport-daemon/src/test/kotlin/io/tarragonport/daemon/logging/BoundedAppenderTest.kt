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
        val blockedAppender =
            object : AppenderBase<ILoggingEvent>() {
                override fun append(event: ILoggingEvent) = blocked.await()
            }
        blockedAppender.context = context
        blockedAppender.start()
        val appender = BoundedAppender()
        appender.context = context
        appender.addAppender(blockedAppender)
        appender.start()
        val logger = context.getLogger(Logger.ROOT_LOGGER_NAME)
        logger.level = Level.INFO
        logger.addAppender(appender)
        // The writer thread holds lines that it has taken from the queue, in addition to the queued ones.
        val before = BoundedAppender.droppedLines
        val elapsed = measureTime { repeat(BoundedAppender.QUEUE_LINES * 4) { logger.info("line {}", it) } }
        blocked.countDown()
        assertTrue(elapsed < 2.seconds, "$elapsed")
        val dropped = BoundedAppender.droppedLines - before
        assertTrue(dropped >= BoundedAppender.QUEUE_LINES, "$dropped lines were dropped")
    }
}
