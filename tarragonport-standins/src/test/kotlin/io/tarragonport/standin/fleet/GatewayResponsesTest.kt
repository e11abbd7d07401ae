package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.net.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A caller must get the complete response to its own request, or an error. */
class GatewayResponsesTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private data class Case(
        val title: String,
        val path: String,
        val script: (ReceivedCall, Socket) -> Unit,
        val status: Int,
        val body: String?,
    )

    private fun respond(response: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket -> socket.getOutputStream().send(response(call)) }

    private fun respondAndClose(response: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket ->
            socket.getOutputStream().send(response(call))
            socket.close()
        }

    private fun respondAndReset(response: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket ->
            socket.getOutputStream().send(response(call))
            Thread.sleep(50)
            socket.setSoLinger(true, 0)
            socket.close()
        }

    private val cases =
        listOf(
            Case("signed response", "/post/a", respond { ServerResponses.plain(it, "whole") }, 200, "whole"),
            Case("server error", "/post/a", respond { ServerResponses.plain(it, "bad", "500 Error") }, 500, "bad"),
            Case(
                "truncated response",
                "/post/a",
                respondAndClose { ServerResponses.plain(it, "whole").dropLast(2) },
                502,
                null,
            ),
            Case("no signature", "/post/a", respond { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }, 502, null),
            Case(
                "encoded body",
                "/post/a",
                respond { ServerResponses.plain(it, "whole", extraHeaders = "Content-Encoding: gzip\r\n") },
                502,
                null,
            ),
            Case("bytes that are not HTTP", "/post/a", respond { "garbage\r\n\r\n" }, 502, null),
            Case(
                "content length and chunked coding",
                "/post/a",
                respond {
                    ServerResponses.plain(it, "x", extraHeaders = "Transfer-Encoding: chunked\r\n")
                },
                502,
                null,
            ),
            Case(
                "no length, closed",
                "/post/a",
                respondAndClose { ServerResponses.plain(it, "whole").replace(Regex("Content-Length: \\d+\r\n"), "") },
                200,
                "whole",
            ),
            Case(
                "no length, reset",
                "/post/a",
                respondAndReset { ServerResponses.plain(it, "whole").replace(Regex("Content-Length: \\d+\r\n"), "") },
                502,
                null,
            ),
            Case("not executed by any server", "/post/a", respond { ServerResponses.notExecuted(it) }, 503, null),
            Case(
                "late response to another request first",
                "/post/a",
                respond { ServerResponses.plain(it, "foreign", id = "another") + ServerResponses.plain(it, "own") },
                200,
                "own",
            ),
            Case(
                "interim response first",
                "/post/a",
                respond { "HTTP/1.1 102 Processing\r\n\r\n" + ServerResponses.plain(it, "own") },
                200,
                "own",
            ),
            Case(
                "stream",
                "/chat/a",
                respond {
                    ServerResponses.streamHead(it) + ServerResponses.chunk(ServerResponses.event(1)) +
                        ServerResponses.chunk(ServerResponses.event(2)) + ServerResponses.STREAM_END
                },
                200,
                ServerResponses.event(1) + ServerResponses.event(2),
            ),
        )

    @Test
    fun `responses are forwarded completely or not at all`() {
        fixture.store.configure(FleetSamples.configuration())
        var script: (ReceivedCall, Socket) -> Unit = { _, _ -> }
        listOf(FleetSamples.PLAIN, FleetSamples.STREAMS).forEach { service ->
            fixture.startServer(service, "server-$service") { call, socket -> script(call, socket) }
        }
        fixture.start()
        cases.forEach { case ->
            script = case.script
            val response = fixture.send(case.path)
            assertEquals(case.status, response.statusCode(), case.title)
            case.body?.let { assertEquals(it, response.body(), case.title) }
        }
    }

    @Test
    fun `an unsolicited response reaches no caller`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.PLAIN, "s") { call, socket ->
            val body = "answer-${ServerResponses.requestId(call)}"
            socket.getOutputStream().send(ServerResponses.plain(call, body) + ServerResponses.plain(call, "extra"))
        }
        fixture.start()
        repeat(10) { number ->
            val response = fixture.send("/read/$number", method = "GET")
            assertEquals("answer-request-${number + 1}", response.body())
        }
    }

    @Test
    fun `a stream that ends within an event is aborted`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.STREAMS, "s") { call, socket ->
            val event = ServerResponses.event(2)
            socket.getOutputStream().send(
                ServerResponses.streamHead(call) + ServerResponses.chunk(ServerResponses.event(1)) +
                    ServerResponses.chunk(event.dropLast(6)) + ServerResponses.STREAM_END,
            )
        }
        fixture.start()
        val outcome = runCatching { fixture.send("/chat/a") }
        assertTrue(outcome.exceptionOrNull() is IOException, "$outcome")
    }

    @Test
    fun `a resumable stream continues on another server after its last complete event`() {
        fixture.store.configure(FleetSamples.configuration())
        listOf("s1", "s2").forEach { id ->
            fixture.startServer(FleetSamples.STREAMS, id) { call, socket ->
                val resumed = call.headers["last-event-id"]
                val events =
                    if (resumed == null) {
                        ServerResponses.chunk(ServerResponses.event(1)) + ServerResponses.chunk("id: 2\nda")
                    } else {
                        ServerResponses.chunk(ServerResponses.event(2)) + ServerResponses.STREAM_END
                    }
                socket.getOutputStream().send(ServerResponses.streamHead(call) + events)
                if (resumed == null) socket.close()
            }
        }
        fixture.start()
        val response: HttpResponse<String> = fixture.send("/resume/a")
        assertEquals(ServerResponses.event(1) + ServerResponses.event(2), response.body())
    }
}
