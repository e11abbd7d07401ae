package io.tarragonport.tool.fault

import io.tarragonport.api.settings.LogFormat
import io.tarragonport.daemon.Daemon
import io.tarragonport.daemon.logging.LogSetup
import io.tarragonport.daemon.settings.SettingsReader
import java.io.File
import kotlin.system.exitProcess

/**
 * A daemon with one protection disabled, for the fault run only: `--disable NAME --settings FILE`. It has no graceful
 * stop.
 */
internal object WeakenedDaemonMain {
    private const val INVALID = 2

    @JvmStatic
    fun main(arguments: Array<String>) {
        val options = arguments.toList().chunked(2).associate { it.first() to it.last() }
        val decorators = DisabledProtections.BY_NAME[options["--disable"]] ?: invalid("unknown protection in --disable")
        val settings =
            SettingsReader
                .read(File(options.getValue("--settings")).readText())
                .fold({ invalid(it.joinToString()) }, { it })
        LogSetup.apply(LogFormat.TEXT)
        Daemon(settings, decorators).start()
        Thread.currentThread().join()
    }

    private fun invalid(message: String): Nothing {
        System.err.println(message)
        exitProcess(INVALID)
    }
}
