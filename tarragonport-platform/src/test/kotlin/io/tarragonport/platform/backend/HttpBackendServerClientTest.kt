package io.tarragonport.platform.backend

import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.EngineEvent
import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.api.backend.EngineRequest
import io.tarragonport.api.backend.ServiceHeader
import io.tarragonport.api.backend.ServiceRequest
import io.tarragonport.api.id.RequestId
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Tests the client against a server that writes exactly the bytes of each case. */
class HttpBackendServerClientTest {
    /** Writes [response] to each connection after its request; then closes it if [closeAfterResponse] is true. */
    private class RawServer(
        private val response: String,
        private val closeAfterResponse: Boolean = true,
    ) : AutoCloseable {
        private val socket = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
        val address = "http://127.0.0.1:${socket.localPort}"
        val requestHeads = CopyOnWriteArrayList<String>()
        val closedByClient = CompletableFuture<Unit>()

        init {
            thread(isDaemon = true) {
                runCatching {
                    while (true) serve()
                }
            }
        }

        private fun serve() {
            val connection = socket.accept()
            val reader = connection.getInputStream().bufferedReader()
            val head = generateSequence { reader.readLine()?.takeIf(String::isNotEmpty) }.joinToString("\n")
            requestHeads += head
            val length = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(head)
            repeat(length?.groupValues?.get(1)?.toInt() ?: 0) { reader.read() }
            connection.getOutputStream().write(response.toByteArray())
            connection.getOutputStream().flush()
            if (closeAfterResponse) return connection.close()
            thread(isDaemon = true) {
                while (reader.read() >= 0) Unit
                closedByClient.complete(Unit)
            }
        }

        override fun close() = socket.close()
    }

    private val timeouts =
        BackendTimeouts(
            idle = 200.milliseconds,
            service = 200.milliseconds,
        )
    private val request =
        EngineRequest("m", listOf(EngineMessage("user", "hi")), requestId = RequestId("r"), priority = 1)

    private fun responseHead(
        status: String,
        type: String = "text/event-stream",
        length: Int? = null,
    ) = "HTTP/1.1 $status\r\nContent-Type: $type\r\n" +
        (if (length == null) "Connection: close\r\n" else "Content-Length: $length\r\n") +
        "\r\n"

    private fun token(index: Int) =
        """data: {"id":"r","token_index":$index,"choices":[{"index":0,"delta":{"content":"t$index"}}]}""" + "\n\n"

    private val finalChunk =
        """data: {"id":"r","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],""" +
            """"usage":{"prompt_tokens":1,"completion_tokens":2}}""" + "\n\n"

    private fun describe(event: EngineEvent): String =
        when (event) {
            is EngineEvent.Token -> "${event.tokenIndex}:${event.text}"
            is EngineEvent.Finished -> "finished ${event.promptTokens} ${event.generatedTokens}"
            is EngineEvent.Failed -> event.failure.javaClass.simpleName
        }

    /** Guards against truncated streams reported as complete, and against failures reported as another kind. */
    @Test
    fun `a stream ends with its final chunk, or with the kind of failure that occurred`() {
        val draining = """{"error":{"kind":"draining","message":"leaving"}}"""
        val cases =
            listOf(
                responseHead("200 OK") + token(0) + ": comment\n\n" + token(1) + finalChunk to "0:t0,1:t1,finished 1 2",
                responseHead("200 OK") + token(0) to "0:t0,Interrupted",
                responseHead("200 OK") + token(0).dropLast(20) to "Interrupted",
                responseHead("200 OK") + "data: {]\n\n" to "Interrupted",
                responseHead("200 OK") + """data: {"id":"r","choices":[{"delta":{"content":"x"}}]}""" + "\n\n" to
                    "Interrupted",
                responseHead("503 Service Unavailable", "application/json", draining.length) + draining to "Rejected",
                "" to "Interrupted",
            )
        HttpBackendServerClient(timeouts).use { client ->
            for ((bytes, expected) in cases) {
                RawServer(bytes).use { server ->
                    val events = runBlocking { client.generate(server.address, request).toList() }
                    assertEquals(expected, events.joinToString(",", transform = ::describe), bytes)
                }
            }
            RawServer(responseHead("200 OK") + token(0), closeAfterResponse = false).use { server ->
                val events = runBlocking { client.generate(server.address, request).toList() }
                assertEquals(
                    "0:t0,Interrupted",
                    events.joinToString(",", transform = ::describe),
                    "engine that sends nothing after the first token",
                )
            }
        }
    }

    /** Guards against `NotSent` for a request that may have been sent, and against other failures for an unsent one. */
    @Test
    fun `only a failure to connect is reported as not sent`() {
        val call = ServiceRequest("POST", "/x?y=1", emptyList(), "b".toByteArray(), RequestId("r"))
        HttpBackendServerClient(timeouts).use { client ->
            runBlocking {
                val unreachable = "http://127.0.0.1:$UNUSED_PORT"
                assertIs<BackendFailure.NotSent>(client.load(unreachable).leftOrNull())
                assertIs<BackendFailure.NotSent>(client.call(unreachable, call).leftOrNull())
                val failed = client.generate(unreachable, request).first()
                assertIs<BackendFailure.NotSent>((failed as EngineEvent.Failed).failure)
                RawServer("").use { assertIs<BackendFailure.Interrupted>(client.call(it.address, call).leftOrNull()) }
                RawServer("", closeAfterResponse = false).use {
                    assertIs<BackendFailure.Interrupted>(client.call(it.address, call).leftOrNull())
                }
            }
        }
    }

    /** Guards against connections that stay open after cancellation. */
    @Test
    fun `cancelling the flow closes the connection`() {
        RawServer(responseHead("200 OK") + token(0), closeAfterResponse = false).use { server ->
            HttpBackendServerClient(BackendTimeouts()).use { client ->
                runBlocking { client.generate(server.address, request).first() }
                server.closedByClient.get()
            }
        }
    }

    /** Guards against headers that the client adds or changes. */
    @Test
    fun `a service receives exactly the given headers and the request id`() {
        RawServer(responseHead("200 OK", "text/plain", 2) + "ok").use { server ->
            HttpBackendServerClient(timeouts).use { client ->
                val headers = listOf(ServiceHeader("Idempotency-Key", "k"), ServiceHeader("Content-Type", "text/x"))
                val call = ServiceRequest("PUT", "/a/b?c=d%20e", headers, "body".toByteArray(), RequestId("r"))
                val response = runBlocking { client.call(server.address, call) }.getOrNull()!!
                assertEquals("ok", response.body.decodeToString())
            }
            val lines = server.requestHeads.single().lines()
            assertEquals("PUT /a/b?c=d%20e HTTP/1.1", lines.first())
            assertTrue(
                lines.containsAll(listOf("Idempotency-Key: k", "Content-Type: text/x", "X-Request-Id: r")),
                "$lines",
            )
            val standardHeaders =
                setOf("host", "accept", "accept-charset", "user-agent", "content-length", "connection")
            val names = lines.drop(1).map { it.substringBefore(':').lowercase() }
            assertEquals(setOf("idempotency-key", "content-type", "x-request-id"), names.toSet() - standardHeaders)
        }
    }

    private companion object {
        /** Reserved for TCPMUX, which is not in use any more, and never assigned as an ephemeral port. */
        const val UNUSED_PORT = 1
    }
}
