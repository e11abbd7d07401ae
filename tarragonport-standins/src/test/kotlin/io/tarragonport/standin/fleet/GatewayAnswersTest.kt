package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.net.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A caller must get the whole answer to its own request or be told that there is none. */
class GatewayAnswersTest {
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

    private fun text(answer: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket -> socket.getOutputStream().send(answer(call)) }

    private fun closing(answer: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket ->
            socket.getOutputStream().send(answer(call))
            socket.close()
        }

    private fun resetting(answer: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket ->
            socket.getOutputStream().send(answer(call))
            Thread.sleep(50)
            socket.setSoLinger(true, 0)
            socket.close()
        }

    private val cases =
        listOf(
            Case("signed answer", "/post/a", text { ServerAnswers.plain(it, "whole") }, 200, "whole"),
            Case("failure of the server", "/post/a", text { ServerAnswers.plain(it, "bad", "500 Error") }, 500, "bad"),
            Case("answer cut short", "/post/a", closing { ServerAnswers.plain(it, "whole").dropLast(2) }, 502, null),
            Case("no signature", "/post/a", text { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }, 502, null),
            Case(
                "encoded body",
                "/post/a",
                text { ServerAnswers.plain(it, "whole", extra = "Content-Encoding: gzip\r\n") },
                502,
                null,
            ),
            Case("bytes that are no answer", "/post/a", text { "garbage\r\n\r\n" }, 502, null),
            Case(
                "both lengths",
                "/post/a",
                text {
                    ServerAnswers.plain(it, "x", extra = "Transfer-Encoding: chunked\r\n")
                },
                502,
                null,
            ),
            Case(
                "no length, closed",
                "/post/a",
                closing { ServerAnswers.plain(it, "whole").replace(Regex("Content-Length: \\d+\r\n"), "") },
                200,
                "whole",
            ),
            Case(
                "no length, reset",
                "/post/a",
                resetting { ServerAnswers.plain(it, "whole").replace(Regex("Content-Length: \\d+\r\n"), "") },
                502,
                null,
            ),
            Case("not run anywhere", "/post/a", text { ServerAnswers.notRun(it) }, 503, null),
            Case(
                "late answer to another request first",
                "/post/a",
                text { ServerAnswers.plain(it, "foreign", id = "another") + ServerAnswers.plain(it, "own") },
                200,
                "own",
            ),
            Case(
                "interim answer first",
                "/post/a",
                text { "HTTP/1.1 102 Processing\r\n\r\n" + ServerAnswers.plain(it, "own") },
                200,
                "own",
            ),
            Case(
                "stream",
                "/chat/a",
                text {
                    ServerAnswers.streamHead(it) + ServerAnswers.chunk(ServerAnswers.event(1)) +
                        ServerAnswers.chunk(ServerAnswers.event(2)) + ServerAnswers.STREAM_END
                },
                200,
                ServerAnswers.event(1) + ServerAnswers.event(2),
            ),
        )

    @Test
    fun `answers are passed on whole or not at all`() {
        fixture.store.configure(FleetSamples.configuration())
        var script: (ReceivedCall, Socket) -> Unit = { _, _ -> }
        listOf(FleetSamples.PLAIN, FleetSamples.STREAMS).forEach { service ->
            fixture.server(service, "server-$service") { call, socket -> script(call, socket) }
        }
        fixture.start()
        cases.forEach { case ->
            script = case.script
            val answer = fixture.send(case.path)
            assertEquals(case.status, answer.statusCode(), case.title)
            case.body?.let { assertEquals(it, answer.body(), case.title) }
        }
    }

    @Test
    fun `an extra answer reaches nobody`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.server(FleetSamples.PLAIN, "s") { call, socket ->
            val body = "answer-${ServerAnswers.requestId(call)}"
            socket.getOutputStream().send(ServerAnswers.plain(call, body) + ServerAnswers.plain(call, "extra"))
        }
        fixture.start()
        repeat(10) { number ->
            val answer = fixture.send("/read/$number", method = "GET")
            assertEquals("answer-request-${number + 1}", answer.body())
        }
    }

    @Test
    fun `a stream that breaks in an event ends as broken`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.server(FleetSamples.STREAMS, "s") { call, socket ->
            val event = ServerAnswers.event(2)
            socket.getOutputStream().send(
                ServerAnswers.streamHead(call) + ServerAnswers.chunk(ServerAnswers.event(1)) +
                    ServerAnswers.chunk(event.dropLast(6)) + ServerAnswers.STREAM_END,
            )
        }
        fixture.start()
        val outcome = runCatching { fixture.send("/chat/a") }
        assertTrue(outcome.exceptionOrNull() is IOException, "$outcome")
    }

    @Test
    fun `a resumable stream goes on at another server after its last whole event`() {
        fixture.store.configure(FleetSamples.configuration())
        listOf("s1", "s2").forEach { id ->
            fixture.server(FleetSamples.STREAMS, id) { call, socket ->
                val resumed = call.headers["last-event-id"]
                val events =
                    if (resumed == null) {
                        ServerAnswers.chunk(ServerAnswers.event(1)) + ServerAnswers.chunk("id: 2\nda")
                    } else {
                        ServerAnswers.chunk(ServerAnswers.event(2)) + ServerAnswers.STREAM_END
                    }
                socket.getOutputStream().send(ServerAnswers.streamHead(call) + events)
                if (resumed == null) socket.close()
            }
        }
        fixture.start()
        val answer: HttpResponse<String> = fixture.send("/resume/a")
        assertEquals(ServerAnswers.event(1) + ServerAnswers.event(2), answer.body())
    }
}
