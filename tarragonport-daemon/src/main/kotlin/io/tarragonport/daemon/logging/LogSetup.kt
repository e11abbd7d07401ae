package io.tarragonport.daemon.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import io.tarragonport.api.settings.LogFormat
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Configures logging to standard output as JSON lines or as text; log calls never block. */
object LogSetup {
    private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5level %msg %kvp%n"

    /** Replaces the default logging configuration. */
    fun apply(format: LogFormat) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val appender = ConsoleAppender<ILoggingEvent>()
        appender.context = context
        appender.encoder = encoder(format, context)
        appender.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(bounded(appender, context))
    }

    /** Flushes the queued lines and stops logging. */
    fun stop() = (LoggerFactory.getILoggerFactory() as LoggerContext).stop()

    private fun bounded(
        appender: ConsoleAppender<ILoggingEvent>,
        context: LoggerContext,
    ): BoundedAppender =
        BoundedAppender().also {
            it.context = context
            it.addAppender(appender)
            it.start()
        }

    private fun encoder(
        format: LogFormat,
        context: LoggerContext,
    ): Encoder<ILoggingEvent> =
        when (format) {
            LogFormat.JSON -> LogstashEncoder()
            LogFormat.TEXT -> PatternLayoutEncoder().apply { pattern = TEXT_PATTERN }
        }.also {
            it.context = context
            it.start()
        }
}
