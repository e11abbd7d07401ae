package io.tarragonport.client

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.tarragonport.client.command.CommandEnvironment
import io.tarragonport.platform.HttpObjectStore
import io.tarragonport.platform.PlatformHttp
import java.io.PrintStream
import kotlin.system.exitProcess
import kotlin.time.Clock

/** Entry point of the command-line client for operators, `tarragonport`. */
fun main(arguments: Array<String>) {
    val status = OperatorClient(HttpCommandEnvironment(System.out), System.err).run(arguments.toList())
    exitProcess(status.code)
}

/** Connects commands to the platform and to VMs over HTTP. */
private class HttpCommandEnvironment(
    override val output: PrintStream,
) : CommandEnvironment {
    override fun connect(
        platformUrl: String,
        operator: String,
    ): ClientContext {
        val store = HttpObjectStore(PlatformHttp(platformUrl))
        val vms = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = VM_TIMEOUT_MS } }
        return ClientContext(store, HttpTraceClient(vms), Clock.System, operator, output)
    }

    private companion object {
        const val VM_TIMEOUT_MS = 3_000L
    }
}
