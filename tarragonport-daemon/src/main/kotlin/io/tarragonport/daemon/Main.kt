package io.tarragonport.daemon

import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.daemon.gateway.GatewayMain
import io.tarragonport.daemon.logging.LogSetup
import io.tarragonport.daemon.settings.ListenCheck
import io.tarragonport.daemon.settings.SettingsReader
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val EXIT_CANNOT_START = 1
private const val EXIT_INVALID_SETTINGS = 2
private const val GATEWAY_COMMAND = "gateway"
private val STOP_SIGNALS = listOf("TERM", "INT")

/**
 * Entry point of the daemon `tarragonportd`. The exit status is 0 after a graceful stop, 1 if the daemon cannot start
 * and 2 for invalid settings.
 */
fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == GATEWAY_COMMAND) return GatewayMain.run(arguments.drop(1))
    val settings = settings(arguments)
    ListenCheck.faults(settings).takeIf { it.isNotEmpty() }?.let { exit(EXIT_CANNOT_START, it) }
    LogSetup.apply(settings.logFormat)
    val daemon = Daemon(settings)
    val stopped = CountDownLatch(1)
    STOP_SIGNALS.forEach { name -> Signal.handle(Signal(name)) { stopped.countDown() } }
    daemon.start()
    stopped.await()
    runBlocking { daemon.stop() }
    LogSetup.stop()
    exitProcess(0)
}

private fun settings(arguments: Array<String>): ProcessSettings {
    val parsed = parse(arguments)
    val file =
        parsed.settings
            ?: exit(EXIT_INVALID_SETTINGS, listOf("--settings FILE is missing", "Try: tarragonportd --help"))
    val settings =
        SettingsReader
            .read(
                read(file),
            ).fold({ faults -> exit(EXIT_INVALID_SETTINGS, faults.map { "$file: $it" }) }, { it })
    if (parsed.check) {
        println("$file is valid")
        exitProcess(0)
    }
    return settings
}

private fun parse(arguments: Array<String>): DaemonArguments {
    val parsed = DaemonArguments()
    val parser = CmdLineParser(parsed)
    try {
        parser.parseArgument(*arguments)
    } catch (exception: CmdLineException) {
        exit(EXIT_INVALID_SETTINGS, listOf("tarragonportd: ${exception.message}", "Try: tarragonportd --help"))
    }
    if (parsed.help) {
        println("usage: tarragonportd [gateway] --settings FILE [--check]")
        parser.printUsage(System.out)
        exitProcess(0)
    }
    return parsed
}

private fun read(file: String): String =
    try {
        Files.readString(Path.of(file))
    } catch (exception: IOException) {
        exit(EXIT_INVALID_SETTINGS, listOf("$file cannot be read: ${exception.message}"))
    }

private fun exit(
    status: Int,
    lines: List<String>,
): Nothing {
    lines.forEach(System.err::println)
    exitProcess(status)
}
