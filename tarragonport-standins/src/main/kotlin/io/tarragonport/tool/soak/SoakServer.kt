package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.standin.fleet.ScriptedServer
import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.standin.fleet.ServerAnswers
import io.tarragonport.standin.fleet.StoreStandIn
import io.tarragonport.tool.fault.LoopbackLink
import io.tarragonport.wire.WireHeaders
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.ComparableTimeMark

/**
 * One incarnation of a backend server behind a link that can misbehave.
 *
 * It runs a few requests at a time and says so when it is full or not the server that was meant. While [spoils] is set
 * it also loses, cuts, doubles or fails some of its answers.
 */
class SoakServer(
    val id: String,
    val service: String,
    private val ledger: RunLedger,
    private val random: Random,
) : AutoCloseable {
    private val server = ScriptedServer(id, ::serve)
    val link = LoopbackLink(server.address.substringAfter(':').toInt())
    private val running = AtomicInteger()
    private val inProgress =
        java.util.concurrent.ConcurrentHashMap
            .newKeySet<SoakRequest>()

    /** Share of the answers that are spoiled. */
    @Volatile
    var spoils = 0.0

    /** When the store confirmed that the server leaves or is gone. */
    @Volatile
    var leavingSince: ComparableTimeMark? = null

    /** While true, what runs here counts as spoiled. */
    @Volatile
    var linkFaulty = false
        set(value) {
            field = value
            if (value) inProgress.forEach { it.spoiled = true }
        }

    /** Writes the server's entry with [state]. */
    fun register(
        store: StoreStandIn,
        state: String = "ready",
    ) = store.register(id, FleetSamples.entry(service, "127.0.0.1:${link.port}", state))

    override fun close() {
        inProgress.forEach { it.spoiled = true }
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
            expected != id -> output.send(ServerAnswers.notRun(call).replace("503 Busy", "421 Misdirected Request"))
            running.incrementAndGet() > SLOTS ->
                output
                    .send(
                        ServerAnswers.notRun(call),
                    ).also { running.decrementAndGet() }
            else -> run(call, socket)
        }
    }

    private fun run(
        call: ReceivedCall,
        socket: Socket,
    ) {
        val request = ledger.began(call, this)
        try {
            if (request == null) return socket.close()
            inProgress += request
            if (linkFaulty) request.spoiled = true
            if (request.kind.streams) stream(call, request, socket) else answer(call, request, socket)
        } finally {
            request?.let { inProgress -= it }
            running.decrementAndGet()
        }
    }

    private fun answer(
        call: ReceivedCall,
        request: SoakRequest,
        socket: Socket,
    ) {
        Thread.sleep(random.nextLong(SHORTEST_WORK_MS, LONGEST_WORK_MS))
        val whole = ServerAnswers.plain(call, body(request.id))
        val spoiled = spoilt(request)
        val output = socket.getOutputStream()
        when (spoiled) {
            null -> output.send(whole)
            Spoiling.LOST -> socket.close()
            Spoiling.CUT -> output.send(whole.dropLast(2)).also { socket.close() }
            Spoiling.DOUBLED -> output.send(whole + ServerAnswers.plain(call, "stray", id = "other"))
            Spoiling.FAILED -> output.send(ServerAnswers.plain(call, "failed", status = "500 Server Error"))
        }
    }

    private fun stream(
        call: ReceivedCall,
        request: SoakRequest,
        socket: Socket,
    ) {
        val first = (call.headers[WireHeaders.LAST_EVENT.lowercase()]?.toIntOrNull() ?: 0) + 1
        val output = socket.getOutputStream()
        val spoiled = spoilt(request)
        val last = if (spoiled == null) EVENTS else (first + random.nextInt(EVENTS)).coerceAtMost(EVENTS)
        output.send(ServerAnswers.streamHead(call))
        for (number in first..last) {
            Thread.sleep(EVENT_PAUSE_MS)
            val event = event(request.id, number)
            if (spoiled != null && number == last) {
                output.send(ServerAnswers.chunk(event.dropLast(EVENT_CUT)))
                return socket.close()
            }
            output.send(ServerAnswers.chunk(event))
        }
        output.send(ServerAnswers.STREAM_END)
    }

    private fun spoilt(request: SoakRequest): Spoiling? =
        if (random.nextDouble() < spoils) {
            request.spoiled = true
            Spoiling.entries[random.nextInt(Spoiling.entries.size)]
        } else {
            null
        }

    private enum class Spoiling { LOST, CUT, DOUBLED, FAILED }

    companion object {
        /** Events of a whole stream. */
        const val EVENTS = 20

        private const val SLOTS = 6
        private const val SHORTEST_WORK_MS = 5L
        private const val LONGEST_WORK_MS = 60L
        private const val EVENT_PAUSE_MS = 20L
        private const val EVENT_CUT = 4

        /** The whole answer to the plain request [id]. */
        fun body(id: String) = "answer to $id"

        /** Event [number] of the stream that answers request [id]. */
        fun event(
            id: String,
            number: Int,
        ) = "id: $number\ndata: $id-$number\n\n"
    }
}
