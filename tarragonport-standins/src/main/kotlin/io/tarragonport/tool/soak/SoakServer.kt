package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.standin.fleet.ScriptedServer
import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.standin.fleet.ServerResponses
import io.tarragonport.standin.fleet.StoreStandIn
import io.tarragonport.tool.fault.LoopbackLink
import io.tarragonport.wire.WireHeaders
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.ComparableTimeMark

/**
 * One incarnation of a backend server behind a link on which faults can be injected.
 *
 * It executes at most [SLOTS] requests at a time and rejects further ones and those meant for another server. With
 * [faultShare] above 0 it also loses, truncates, duplicates or fails some of its responses.
 */
class SoakServer(
    val id: String,
    val service: String,
    private val history: RequestHistory,
    private val random: Random,
) : AutoCloseable {
    private val server = ScriptedServer(id, ::serve)
    val link = LoopbackLink(server.address.substringAfter(':').toInt())
    private val activeExecutions = AtomicInteger()
    private val inProgress =
        java.util.concurrent.ConcurrentHashMap
            .newKeySet<SoakRequest>()

    /** Share of the responses with an injected fault. */
    @Volatile
    var faultShare = 0.0

    /** The time at which the store confirmed that the server is leaving; null before. */
    @Volatile
    var leavingSince: ComparableTimeMark? = null

    /** While true, every execution on this server counts as affected by a fault. */
    @Volatile
    var linkFaulty = false
        set(value) {
            field = value
            if (value) inProgress.forEach { it.affectedByFault = true }
        }

    /** Registers the server in [store] with [state]. */
    fun register(
        store: StoreStandIn,
        state: String = "ready",
    ) = store.register(id, FleetSamples.entry(service, "127.0.0.1:${link.port}", state))

    override fun close() {
        inProgress.forEach { it.affectedByFault = true }
        link.close()
        server.close()
    }

    private fun serve(
        call: ReceivedCall,
        socket: Socket,
    ) {
        val expected = call.headers[WireHeaders.EXPECTED_SERVER.lowercase()]
        val output = socket.getOutputStream()
        when {
            expected != id ->
                output.send(
                    ServerResponses.notExecuted(call).replace("503 Busy", "421 Misdirected Request"),
                )
            activeExecutions.incrementAndGet() > SLOTS ->
                output.send(ServerResponses.notExecuted(call)).also { activeExecutions.decrementAndGet() }
            else -> run(call, socket)
        }
    }

    private fun run(
        call: ReceivedCall,
        socket: Socket,
    ) {
        val request = history.recordExecution(call, this)
        try {
            if (request == null) return socket.close()
            inProgress += request
            if (linkFaulty) request.affectedByFault = true
            if (request.kind.streams) stream(call, request, socket) else respond(call, request, socket)
        } finally {
            request?.let { inProgress -= it }
            activeExecutions.decrementAndGet()
        }
    }

    private fun respond(
        call: ReceivedCall,
        request: SoakRequest,
        socket: Socket,
    ) {
        Thread.sleep(random.nextLong(MINIMUM_WORK_MS, MAXIMUM_WORK_MS))
        val response = ServerResponses.plain(call, body(request.id))
        val fault = drawFault(request)
        val output = socket.getOutputStream()
        when (fault) {
            null -> output.send(response)
            ResponseFault.LOST -> socket.close()
            ResponseFault.CUT -> output.send(response.dropLast(2)).also { socket.close() }
            ResponseFault.DUPLICATED -> output.send(response + ServerResponses.plain(call, "stray", id = "other"))
            ResponseFault.FAILED -> output.send(ServerResponses.plain(call, "failed", status = "500 Server Error"))
        }
    }

    private fun stream(
        call: ReceivedCall,
        request: SoakRequest,
        socket: Socket,
    ) {
        val first = (call.headers[WireHeaders.LAST_EVENT.lowercase()]?.toIntOrNull() ?: 0) + 1
        val output = socket.getOutputStream()
        val fault = drawFault(request)
        val last = if (fault == null) EVENTS else (first + random.nextInt(EVENTS)).coerceAtMost(EVENTS)
        output.send(ServerResponses.streamHead(call))
        for (number in first..last) {
            Thread.sleep(EVENT_INTERVAL_MS)
            val event = event(request.id, number)
            if (fault != null && number == last) {
                output.send(ServerResponses.chunk(event.dropLast(TRUNCATED_CHARACTERS)))
                return socket.close()
            }
            output.send(ServerResponses.chunk(event))
        }
        output.send(ServerResponses.STREAM_END)
    }

    private fun drawFault(request: SoakRequest): ResponseFault? =
        if (random.nextDouble() < faultShare) {
            request.affectedByFault = true
            ResponseFault.entries[random.nextInt(ResponseFault.entries.size)]
        } else {
            null
        }

    private enum class ResponseFault { LOST, CUT, DUPLICATED, FAILED }

    companion object {
        /** Number of events in a complete stream. */
        const val EVENTS = 20

        private const val SLOTS = 6
        private const val MINIMUM_WORK_MS = 5L
        private const val MAXIMUM_WORK_MS = 60L
        private const val EVENT_INTERVAL_MS = 20L
        private const val TRUNCATED_CHARACTERS = 4

        /** The complete response body for the plain request [id]. */
        fun body(id: String) = "answer to $id"

        /** Event [number] of the response stream for request [id]. */
        fun event(
            id: String,
            number: Int,
        ) = "id: $number\ndata: $id-$number\n\n"
    }
}
