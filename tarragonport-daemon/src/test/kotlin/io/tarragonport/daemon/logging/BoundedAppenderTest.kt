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

/** A reader of the log that stops reading must not stop the process that logs. */
class BoundedAppenderTest {
    @Test
    fun `logging goes on when nobody takes the lines and the dropped ones are counted`() {
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
        // Besides the queue, the writing thread holds the lines that it has taken from it.
        val before = BoundedAppender.droppedLines
        val taken = measureTime { repeat(BoundedAppender.QUEUE_LINES * 4) { logger.info("line {}", it) } }
        blocked.countDown()
        assertTrue(taken < 2.seconds, "$taken")
        val dropped = BoundedAppender.droppedLines - before
        assertTrue(dropped >= BoundedAppender.QUEUE_LINES, "$dropped lines were dropped")
    }
}
