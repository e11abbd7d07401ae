package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.ServerWire
import io.tarragonport.wire.WireHeaders
import kotlin.test.Test
import kotlin.test.assertEquals

/** A backend server says in its responses that it leaves, while its entry in the object store still says otherwise. */
class GatewayLeavingServersTest {
    private data class ResponseCase(
        val title: String,
        val used: Boolean,
        val path: String,
        val respond: (ReceivedCall) -> String,
    )

    private data class EntryCase(
        val title: String,
        val used: Boolean,
        val change: (StoreStandIn, ServerWire) -> Unit,
    )

    private fun leaving(response: String) = response.replaceFirst("\r\n", "\r\n${WireHeaders.LEAVING}: 1\r\n")

    private val responses =
        listOf(
            ResponseCase("success", used = false, "/post/a") { leaving(ServerResponses.plain(it, "x")) },
            ResponseCase("client error", used = false, "/post/a") {
                leaving(ServerResponses.plain(it, "x", "404 None"))
            },
            ResponseCase("server error", used = false, "/post/a") {
                leaving(ServerResponses.plain(it, "x", "500 Error"))
            },
            ResponseCase("refusal", used = false, "/post/a") { leaving(ServerResponses.notExecuted(it)) },
            ResponseCase("head of a stream", used = false, "/chat/a") {
                leaving(ServerResponses.streamHead(it)) + ServerResponses.chunk(ServerResponses.event(1)) +
                    ServerResponses.STREAM_END
            },
            ResponseCase("no such header", used = true, "/post/a") { ServerResponses.plain(it, "x") },
            ResponseCase("the header says no", used = true, "/post/a") {
                leaving(
                    ServerResponses.plain(it, "x"),
                ).replace("${WireHeaders.LEAVING}: 1", "${WireHeaders.LEAVING}: 0")
            },
            ResponseCase("refusal of another server at the address", used = true, "/post/a") {
                leaving(ServerResponses.notExecuted(it)).replace("503 Busy", "421 Misdirected")
            },
            ResponseCase("response to another request", used = true, "/post/a") {
                leaving(ServerResponses.plain(it, "x", id = "another")) + ServerResponses.plain(it, "x")
            },
        )

    /** Guards against requests lost with a server whose leaving only its own responses have announced. */
    @Test
    fun `a server whose response says that it leaves gets no new request`() =
        responses.forEach { case ->
            GatewayFixture().use { fixture ->
                fixture.store.configure(FleetSamples.configuration())
                val service = if (case.path.startsWith("/chat")) FleetSamples.STREAMS else FleetSamples.PLAIN
                val server =
                    fixture.startServer(service, "s") { call, socket ->
                        socket.getOutputStream().send(case.respond(call))
                    }
                fixture.start()
                fixture.send(case.path)
                assertEquals(1, server.received.size, case.title)
                // A server that has refused a request is avoided for a moment.
                Thread.sleep(REFUSAL_PAUSE_MS)
                fixture.send(case.path)
                assertEquals(if (case.used) 2 else 1, server.received.size, case.title)
                assertEquals(if (case.used) 0 else 1, fixture.eventCount("server_leaving"), case.title)
            }
        }

    private val entries =
        listOf(
            EntryCase(
                "entry written again",
                used = false,
            ) { store, entry -> store.register("s", entry.copy(slots = 5)) },
            EntryCase("entry that disappears and returns", used = false) { store, entry ->
                store.unregister("s")
                Thread.sleep(UNTIL_SEEN_MS)
                store.register("s", entry)
            },
            EntryCase("another server at the address", used = true) { store, entry -> store.register("t", entry) },
            EntryCase("restart under the same id", used = true) { store, entry ->
                store.register("s", entry.copy(born = 2))
            },
        )

    /** Guards against use of a leaving server after an outage of the store, and against loss of the one that follows. */
    @Test
    fun `an announcement holds until the server starts again`() =
        entries.forEach { case ->
            GatewayFixture().use { fixture ->
                fixture.store.configure(FleetSamples.configuration())
                val server =
                    fixture.startServer(FleetSamples.PLAIN, "s") { call, socket ->
                        socket.getOutputStream().send(leaving(ServerResponses.plain(call, "x")))
                    }
                fixture.start()
                assertEquals(OK, fixture.send("/post/a").statusCode(), case.title)
                case.change(fixture.store, FleetSamples.entry(FleetSamples.PLAIN, server.address))
                Thread.sleep(UNTIL_SEEN_MS)
                assertEquals(if (case.used) OK else NO_SERVER, fixture.send("/post/b").statusCode(), case.title)
                assertEquals(if (case.used) 2 else 1, server.received.size, case.title)
            }
        }

    private companion object {
        const val OK = 200
        const val NO_SERVER = 503
        const val REFUSAL_PAUSE_MS = 100L

        /** Longer than changes of entries are gathered before they are applied. */
        const val UNTIL_SEEN_MS = 600L
    }
}
