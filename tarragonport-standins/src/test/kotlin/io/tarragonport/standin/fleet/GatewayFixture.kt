package io.tarragonport.standin.fleet

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.daemon.gateway.Gateway
import io.tarragonport.tool.fault.FreePorts
import io.tarragonport.wire.WireHeaders
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.test.fail

/** An in-process gateway with a store stand-in and scripted backend servers. */
internal class GatewayFixture : AutoCloseable {
    val store = StoreStandIn()
    private val servers = mutableListOf<ScriptedServer>()
    val callerPort = FreePorts.next()
    private val readinessPort = FreePorts.next()
    private val metricsPort = FreePorts.next()
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val platformPort = store.start()
    val gateway = Gateway(settings())
    private var requestCount = 0
    private var closed = false

    private fun settings() =
        GatewaySettings(
            vmId = VmId("vm-1"),
            region = RegionId("r"),
            failureDomain = FailureDomainId("a"),
            ip = "127.0.0.1",
            callerAddress = "127.0.0.1:$callerPort",
            readinessAddress = "127.0.0.1:$readinessPort",
            peerPorts = listOf(FreePorts.next(), FreePorts.next()).sorted(),
            platformUrl = "http://127.0.0.1:$platformPort",
            dutyUrl = "http://127.0.0.1:$platformPort",
            stopSeconds = 4.0,
            leaseSeconds = 1.0,
            usageWindowSeconds = 1.0,
            metricsPort = metricsPort,
        )

    /** Starts a backend server of [service] with [script] and registers it in the store. */
    fun startServer(
        service: String,
        id: String,
        script: (ReceivedCall, Socket) -> Unit,
    ): ScriptedServer {
        val server = ScriptedServer(id, script)
        servers += server
        store.register(id, FleetSamples.entry(service, server.address))
        return server
    }

    /** Starts the gateway and waits until it is ready. */
    fun start(): GatewayFixture {
        gateway.start()
        eventually("the gateway is not ready") { isReady() }
        return this
    }

    fun isReady(): Boolean =
        try {
            get("http://127.0.0.1:$readinessPort/readyz").statusCode() == 200
        } catch (_: IOException) {
            false
        }

    /** Sends a request and returns the complete response. */
    fun send(
        path: String,
        key: String? = FleetSamples.KEY,
        method: String = "POST",
        body: String = "body",
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> {
        val builder =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:$callerPort$path"))
                .timeout(Duration.ofSeconds(10))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        builder.setHeader(WireHeaders.REQUEST_ID, "request-${++requestCount}")
        builder.setHeader(WireHeaders.REMAINING_TIME, "2500")
        builder.setHeader("Host", FleetSamples.HOST)
        key?.let { builder.setHeader(WireHeaders.KEY, it) }
        headers.forEach(builder::setHeader)
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Number of log events [name] so far. */
    fun eventCount(name: String): Int =
        get("http://127.0.0.1:$metricsPort/metrics")
            .body()
            .lines()
            .firstOrNull { it.startsWith("gateway_events_total") && "\"$name\"" in it }
            ?.substringAfterLast(' ')
            ?.toDouble()
            ?.toInt() ?: 0

    /** Opens a raw connection to the gateway. */
    fun connect(): Socket = Socket("127.0.0.1", callerPort).apply { soTimeout = SOCKET_TIMEOUT_MS }

    /** Waits until [condition] holds; fails with [message] on timeout. */
    fun eventually(
        message: String,
        condition: () -> Boolean,
    ) {
        repeat(MAXIMUM_POLLS) {
            if (condition()) return
            Thread.sleep(POLL_INTERVAL_MS)
        }
        fail(message)
    }

    override fun close() {
        if (closed) return
        closed = true
        runBlocking { gateway.stop() }
        servers.forEach { it.close() }
        store.close()
    }

    private fun get(url: String): HttpResponse<String> =
        client.send(HttpRequest.newBuilder(URI(url)).build(), HttpResponse.BodyHandlers.ofString())

    private companion object {
        const val MAXIMUM_POLLS = 500
        const val POLL_INTERVAL_MS = 20L
        const val SOCKET_TIMEOUT_MS = 6_000
    }
}
