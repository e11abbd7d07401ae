package io.tarragonport.standin.engine

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Disconnects, key withdrawal, slow bodies, drain and concurrency on caller connections. */
class ConnectedCallersTest {
    private fun head(
        length: Int,
        key: String? = TestVm.KEY,
        headers: String = "",
    ): String {
        val authorization = if (key == null) "" else "Authorization: Bearer $key\r\n"
        val lines = "$authorization${headers}Content-Length: $length\r\n\r\n"
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n$lines"
    }

    private fun message(
        body: String,
        key: String? = TestVm.KEY,
        headers: String = "",
    ): String = head(body.length, key, headers) + body

    /** Guards against engines that continue to generate for a disconnected caller. */
    @Test
    fun `the engine stops within a second after the caller disconnects`() {
        TestVm(engines = 1, tokensPerSecond = 50.0).use { vm ->
            for (stream in listOf(true, false)) {
                val socket = vm.socket(message(TestVm.body("gone $stream", 2_000, stream)))
                eventually {
                    vm.engines[0]
                        .received()
                        .requests
                        .any { "gone $stream" in it.body && it.generatedTokens > 2 }
                }
                socket.close()
                eventually(1.seconds) {
                    vm.engines[0].received().requests.single { "gone $stream" in it.body }.run {
                        cancelled ||
                            disconnected
                    }
                }
                eventually { vm.dispatcher.size == 0 }
            }
        }
    }

    /** Guards against dispatching the queued request of a disconnected caller. */
    @Test
    fun `a queued request of a disconnected caller never reaches an engine`() {
        TestVm(engines = 1, slots = 1, tokensPerSecond = 50.0).use { vm ->
            val first = vm.socket(message(TestVm.body("long", 2_000, true)))
            eventually { vm.dispatcher.size == 1 }
            val second = vm.socket(message(TestVm.body("queued", 10, true)))
            eventually { vm.dispatcher.size == 2 }
            second.close()
            eventually(1.seconds) { vm.dispatcher.size == 1 }
            first.close()
            eventually { vm.dispatcher.size == 0 }
            assertEquals(
                1,
                vm.engines[0]
                    .received()
                    .requests.size,
            )
        }
    }

    /** Guards against requests that continue after their key was withdrawn. */
    @Test
    fun `running and queued requests under a withdrawn key are ended`() {
        TestVm(engines = 1, slots = 1, tokensPerSecond = 50.0).use { vm ->
            runBlocking(Dispatchers.IO) {
                val running = async { vm.chat(TestVm.body("running", 2_000, true)) }
                eventually {
                    vm.engines[0]
                        .received()
                        .requests
                        .any { it.generatedTokens > 2 }
                }
                val queued = async { vm.chat(TestVm.body("queued", 10, true)) }
                eventually { vm.dispatcher.size == 2 }
                vm.withdrawKey("key-1")
                val cut = running.await().body()
                assertEquals("key_withdrawn", SseText.errorKind(cut))
                assertTrue(cut.contains(""""ran":"yes""""), cut)
                assertFalse(SseText.isDone(cut))
                val rejected = queued.await()
                assertEquals(401, rejected.statusCode())
                assertTrue(rejected.body().contains(""""ran":"no""""), rejected.body())
                assertEquals(401, vm.chat(TestVm.body("after")).statusCode())
                eventually(1.seconds) {
                    vm.engines[0]
                        .received()
                        .requests
                        .single()
                        .run { cancelled || disconnected }
                }
            }
        }
    }

    /** Guards against a key that authenticates a whole connection instead of a single request. */
    @Test
    fun `a key authenticates a single request, not the connection`() {
        TestVm().use { vm ->
            vm.socket(message(TestVm.body("with key"))).use { socket ->
                val reader = socket.getInputStream().bufferedReader()
                assertEquals("HTTP/1.1 200 OK", reader.readLine())
                socket.getOutputStream().write(message(TestVm.body("without key"), key = null).toByteArray())
                val second =
                    generateSequence { reader.readLine() }.first {
                        it.startsWith("HTTP/1.1") ||
                            "HTTP/1.1 4" in it
                    }
                assertTrue("HTTP/1.1 401" in second, second)
            }
            assertTrue(vm.engines.flatMap { it.received().requests }.none { "without" in it.body })
        }
    }

    /** Guards against executing requests with an incomplete body, and against connections that never close. */
    @Test
    fun `slow and incomplete bodies are rejected`() {
        TestVm().use { vm ->
            vm.socket(head(100) + "{").use { socket ->
                val response = socket.getInputStream().bufferedReader().readLine()
                assertEquals("HTTP/1.1 408 Request Timeout", response)
            }
            vm.socket(head(1_000) + TestVm.body("half")).close()
            vm.socket(head(1_000) + TestVm.body("half closed")).use { it.shutdownOutput() }
            eventually { vm.server.active == 0 }
            assertTrue(vm.engines.all { it.received().requests.isEmpty() })
        }
    }

    /** Guards against forwarding API keys to backend servers. */
    @Test
    fun `backend servers never receive a key`() {
        TestVm().use { vm ->
            vm.chat(TestVm.body("plain"), TestVm.KEY, "X-Copy" to TestVm.KEY, "Cookie" to TestVm.KEY)
            vm.chat(TestVm.body("echoed"), TestVm.KEY, "X-Request-Id" to TestVm.KEY)
            val headers = arrayOf("X-Request-Class" to "lookup", "Accept-Language" to TestVm.KEY)
            vm.post("/v1/services/ledger/prices?a=b", "plain", *headers)
            vm.post("/v1/services/ledger/prices?key=${TestVm.KEY}", "in query", *headers)
            vm.post("/v1/services/ledger/prices?key=key%2dof%2dhuerta", "in query", *headers)
            vm.post("/v1/services/ledger/prices", "in body ${TestVm.KEY}", *headers)
            val receivedData = vm.engines.map { it.received().toString() } + vm.service.received().toString()
            assertTrue(receivedData.none { TestVm.KEY in it || "key%2dof" in it }, receivedData.toString())
            assertEquals(
                listOf("plain"),
                vm.service
                    .received()
                    .executed
                    .map { it.body },
            )
            assertFalse(vm.get("/metrics", null).body().contains(TestVm.KEY))
        }
    }

    /** Guards against requests aborted or rejected by a graceful shutdown. */
    @Test
    fun `a draining VM completes running and new requests`() {
        TestVm(tokensPerSecond = 50.0).use { vm ->
            runBlocking(Dispatchers.IO) {
                val stream = async { vm.chat(TestVm.body("drain", 30, true)) }
                eventually { vm.dispatcher.size == 1 }
                val drained = async { vm.server.drain() }
                eventually { vm.get("/readyz", null).statusCode() == 503 }
                val late = vm.chat(TestVm.body("late", 10))
                assertEquals(200, late.statusCode())
                drained.await()
                assertTrue(SseText.isDone(stream.await().body()))
                assertEquals(TestVm.expectedText("drain", 30), SseText.text(stream.await().body()))
            }
        }
    }

    /** Guards against accepting requests on a VM that does not receive key withdrawals. */
    @Test
    fun `an isolated VM rejects requests`() {
        TestVm().use { vm ->
            vm.configurationSource.isolated.value = true
            val response = vm.chat(TestVm.body("x"))
            assertEquals(503, response.statusCode())
            assertTrue(response.body().contains(""""kind":"isolated""""), response.body())
            assertEquals(503, vm.get("/readyz", null).statusCode())
            vm.configurationSource.isolated.value = false
            assertEquals(200, vm.chat(TestVm.body("x")).statusCode())
        }
    }

    /** Guards against mixed-up responses under concurrency when callers use the same request id. */
    @Test
    fun `concurrent callers each get their own response`() {
        TestVm(engines = 3, slots = 16).use { vm ->
            vm.engines[1].faults = EngineFaults(cutAtToken = 6, remaining = 3)
            runBlocking(Dispatchers.IO) {
                val responses =
                    (1..40).map { number ->
                        async {
                            delay((number % 7).toLong())
                            vm.chat(TestVm.body("n$number", stream = true), TestVm.KEY, "X-Request-Id" to "same").body()
                        }
                    }
                responses.forEachIndexed { index, response ->
                    assertEquals(TestVm.expectedText("n${index + 1}"), SseText.text(response.await()))
                }
                assertEquals(
                    "same",
                    vm
                        .chat(
                            TestVm.body("id"),
                            TestVm.KEY,
                            "X-Request-Id" to "same",
                        ).headers()
                        .firstValue("X-Request-Id")
                        .get(),
                )
                assertEquals(
                    "completed",
                    vm.traces
                        .trace("same")!!
                        .entries
                        .last()
                        .choice,
                )
            }
        }
    }
}
