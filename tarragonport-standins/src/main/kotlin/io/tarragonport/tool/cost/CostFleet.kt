package io.tarragonport.tool.cost

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.fleet.FleetIntervals
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.standin.fleet.ScriptedServer
import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.standin.fleet.ServerResponses
import io.tarragonport.standin.fleet.StoreStandIn
import io.tarragonport.wire.ConfigurationWire
import io.tarragonport.wire.EngineWire
import io.tarragonport.wire.ServiceWire
import java.net.Socket
import kotlin.concurrent.thread

/** The surroundings of one gateway in a large fleet: store, model engines, plain servers and records of other VMs. */
internal class CostFleet(
    private val engines: Int,
    private val otherVms: Int,
    private val eventsPerStream: Int,
    private val eventIntervalMs: Long,
) : AutoCloseable {
    private val store = StoreStandIn()
    private val servers = mutableListOf<ScriptedServer>()

    /** Starts the store on [storePort] and registers all servers and VMs. */
    fun start(storePort: Int) {
        store.start(storePort)
        store.configure(configuration())
        // A few sockets stand for all engines, because only the gateway's cost is measured.
        val streamServers =
            List(SHARED_SERVERS) { ScriptedServer("engine-$it", ::respondWithStream).also(servers::add) }
        repeat(engines) { number ->
            val address = streamServers[number % SHARED_SERVERS].address
            store.register("engine-$number", FleetSamples.entry(FleetSamples.STREAMS, address).copy(slots = SLOTS))
        }
        repeat(PLAIN_SERVERS) { number ->
            val server = ScriptedServer("plain-$number", ::respondPlain).also(servers::add)
            store.register("plain-$number", FleetSamples.entry(FleetSamples.PLAIN, server.address))
        }
        thread(isDaemon = true, name = "records") { writeRecords() }
    }

    override fun close() {
        servers.forEach { it.close() }
        store.close()
    }

    private fun configuration(): ConfigurationWire {
        val sample = FleetSamples.configuration()
        return sample.copy(
            routes = sample.routes.map { it.copy(sticky = it.service == FleetSamples.STREAMS) },
            services =
                listOf(
                    ServiceWire(FleetSamples.PLAIN, "/health", CONNECTIONS),
                    ServiceWire(FleetSamples.STREAMS, "/health", CONNECTIONS, EngineWire(SLOTS, CACHE_TOKENS)),
                ),
        )
    }

    private fun respondPlain(
        call: ReceivedCall,
        socket: Socket,
    ) = socket.getOutputStream().send(ServerResponses.plain(call, "x".repeat(PLAIN_BODY_BYTES)))

    private fun respondWithStream(
        call: ReceivedCall,
        socket: Socket,
    ) {
        val output = socket.getOutputStream()
        output.send(ServerResponses.streamHead(call))
        for (number in 1..eventsPerStream) {
            output.send(ServerResponses.chunk(ServerResponses.event(number)))
            Thread.sleep(eventIntervalMs)
        }
        output.send(ServerResponses.STREAM_END)
    }

    private fun writeRecords() {
        val interval = FleetIntervals(otherVms + 1).recordInterval.inWholeMilliseconds
        var heartbeat = 0L
        while (true) {
            heartbeat++
            repeat(otherVms) { number ->
                val record = record(number, heartbeat, interval)
                val value = WireJson.encodeToJsonElement(VmRecord.serializer(), record)
                store.state.put("vms", "${record.vm}-1", value)
                Thread.sleep(interval / otherVms)
            }
        }
    }

    private fun record(
        number: Int,
        heartbeat: Long,
        interval: Long,
    ) = VmRecord(
        vm = VmId("other-$number"),
        incarnation = Incarnation(1),
        // Nothing listens on this address; messages to it fail at once.
        peerAddress = "127.0.0.1:$CLOSED_PORT",
        heartbeat = heartbeat,
        windows = emptyMap(),
        demand = emptyMap(),
        nextInMs = interval,
    )

    private companion object {
        const val SHARED_SERVERS = 8
        const val PLAIN_SERVERS = 5
        const val SLOTS = 16
        const val CONNECTIONS = 700
        const val CACHE_TOKENS = 655_352L
        const val PLAIN_BODY_BYTES = 800
        const val CLOSED_PORT = 1
    }
}
