package io.tarragonport.daemon.gateway

import io.tarragonport.daemon.DaemonArguments
import io.tarragonport.daemon.logging.LogSetup
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import sun.misc.Signal
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Entry point of `tarragonportd gateway`; exits with 0 after a graceful shutdown, 2 for invalid arguments
 * or settings, 3 if an address cannot be used.
 */
internal object GatewayMain {
    private const val EXIT_INVALID = 2
    private const val EXIT_NOT_LISTENING = 3
    private val STOP_SIGNALS = listOf("TERM", "INT")

    /** Interval at which the file is checked for changes without SIGHUP; a read takes a few microseconds. */
    private val SETTINGS_POLL_INTERVAL: Duration = 5.seconds

    fun run(arguments: List<String>) {
        val parsed = parse(arguments)
        val file = parsed.settings ?: exit(listOf("--settings FILE is missing", "Try: tarragonportd --help"))
        val settingsFile = SettingsFile(file)
        val settings = settingsFile.read().fold({ exit(it) }, { it })
        if (parsed.check) {
            println("$file is valid")
            exitProcess(0)
        }
        LogSetup.apply(settings.logFormat)
        val gateway = Gateway(settings)
        val stopped = CountDownLatch(1)
        STOP_SIGNALS.forEach { name -> Signal.handle(Signal(name)) { stopped.countDown() } }
        Signal.handle(Signal("HUP")) { settingsFile.read().fold(gateway::reloadFailed, gateway::reload) }
        try {
            gateway.start()
        } catch (exception: IOException) {
            LogSetup.stop()
            exit(listOf("tarragonportd gateway: cannot listen: ${exception.message}"), EXIT_NOT_LISTENING)
        }
        while (!stopped.await(SETTINGS_POLL_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)) {
            settingsFile.readIfChanged()?.fold(gateway::reloadFailed, gateway::reload)
        }
        runBlocking { gateway.stop() }
        LogSetup.stop()
        exitProcess(0)
    }

    private fun parse(arguments: List<String>): DaemonArguments {
        val parsed = DaemonArguments()
        try {
            CmdLineParser(parsed).parseArgument(arguments)
        } catch (exception: CmdLineException) {
            exit(listOf("tarragonportd gateway: ${exception.message}", "Try: tarragonportd --help"))
        }
        return parsed
    }

    private fun exit(
        lines: List<String>,
        status: Int = EXIT_INVALID,
    ): Nothing {
        lines.forEach(System.err::println)
        exitProcess(status)
    }
}
