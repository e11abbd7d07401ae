package io.tarragonport.daemon.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.daemon.DaemonArguments
import io.tarragonport.daemon.logging.LogSetup
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

/** Entry point of `tarragonportd gateway`: exit status 0 after a graceful stop, 2 for invalid arguments or settings. */
internal object GatewayMain {
    private const val INVALID = 2
    private val STOP_SIGNALS = listOf("TERM", "INT")

    fun run(arguments: List<String>) {
        val parsed = parse(arguments)
        val file = parsed.settings ?: exit(listOf("--settings FILE is missing", "Try: tarragonportd --help"))
        val settings = read(file).fold({ exit(it) }, { it })
        if (parsed.check) {
            println("$file is valid")
            exitProcess(0)
        }
        LogSetup.apply(settings.logFormat)
        val gateway = Gateway(settings)
        val stopped = CountDownLatch(1)
        STOP_SIGNALS.forEach { name -> Signal.handle(Signal(name)) { stopped.countDown() } }
        Signal.handle(Signal("HUP")) { read(file).fold(gateway::reloadFailed, gateway::reload) }
        gateway.start()
        stopped.await()
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

    private fun read(file: String): Either<List<String>, GatewaySettings> =
        try {
            Files.readString(Path.of(file)).right()
        } catch (exception: IOException) {
            listOf("$file cannot be read: ${exception.message}").left()
        }.flatMap { text -> SettingsReader.readGateway(text).mapLeft { faults -> faults.map { "$file: $it" } } }

    private fun exit(lines: List<String>): Nothing {
        lines.forEach(System.err::println)
        exitProcess(INVALID)
    }
}
