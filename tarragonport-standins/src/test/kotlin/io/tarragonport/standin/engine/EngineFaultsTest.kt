package io.tarragonport.standin.engine

import io.tarragonport.daemon.dispatch.CrashReporter
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A caller must receive the complete response to its own request, or an error, whatever fault an engine has. */
class EngineFaultsTest {
    private val corruptingFaults =
        mapOf(
            "cut after five tokens" to EngineFaults(cutAtToken = 5),
            "cut before the first token" to EngineFaults(cutAtToken = 0),
            "cut before the final chunk" to EngineFaults(cutAtToken = 20),
            "another request's id" to EngineFaults(wrongIdAtToken = 4),
            "token skipped" to EngineFaults(skipAtToken = 3),
            "last token skipped" to EngineFaults(skipAtToken = 19),
            "tokens reordered" to EngineFaults(reorderAtToken = 6),
            "stalled" to EngineFaults(stallAtToken = 5),
            "crash" to EngineFaults(crashAtToken = 7),
        )
    private val harmlessFaults = mapOf("token duplicated" to EngineFaults(duplicateAtToken = 2))
    private val rejectingFaults =
        mapOf(
            "server error" to EngineFaults(rejectStatus = 500),
            "draining" to EngineFaults(draining = true),
        )

    /** Guards against lost, duplicate, changed or foreign tokens, and against double billing, after a resume. */
    @Test
    fun `responses are complete whatever fault one engine has`() {
        for ((name, faults) in corruptingFaults + harmlessFaults + rejectingFaults) {
            for (stream in listOf(true, false)) {
                TestVm().use { vm ->
                    vm.engines[0].faults = faults
                    val response = vm.chat(TestVm.body("p $name", stream = stream))
                    assertEquals(200, response.statusCode(), "$name ${response.body()}")
                    val expected = TestVm.expectedText("p $name")
                    if (stream) {
                        assertEquals(expected, SseText.text(response.body()), name)
                        assertTrue(SseText.isDone(response.body()), name)
                    } else {
                        assertTrue(response.body().contains("\"$expected\""), "$name ${response.body()}")
                    }
                    assertEquals(20, vm.usage.of("huerta").generatedTokens, name)
                    assertEquals(1, vm.usage.of("huerta").requests, name)
                    assertEquals(if (name in harmlessFaults) 1 else 2, vm.policy.starts.size, name)
                }
            }
        }
    }

    /** Guards against an incomplete response that looks complete. */
    @Test
    fun `a response that cannot be resumed ends with an error event`() {
        for ((name, faults) in corruptingFaults) {
            if (name == "cut before the first token") continue
            TestVm().use { vm ->
                vm.engines[0].faults = faults
                val response = vm.chat(TestVm.body("q $name", stream = true), TestVm.KEY, "X-Request-Class" to "note")
                assertFalse(SseText.isDone(response.body()), name)
                assertEquals("answer_incomplete", SseText.errorKind(response.body()), "$name ${response.body()}")
                assertTrue(response.body().contains(""""ran":"yes""""), name)
                assertTrue(TestVm.expectedText("q $name").startsWith(SseText.text(response.body())), name)
                assertEquals(1, vm.policy.starts.size, name)
            }
        }
    }

    /** Guards against `ran: no` for a request that a server may have executed, and the reverse. */
    @Test
    fun `ran states whether a server may have executed the request`() {
        val cases =
            listOf(
                Triple("no", "no_backend_server") { vm: TestVm -> vm.engines.forEach { it.stop() } },
                Triple("unknown", "backend_failed") { vm: TestVm ->
                    vm.engines.forEach { it.faults = EngineFaults(cutAtToken = 0) }
                },
                Triple("unknown", "no_backend_server") { vm: TestVm ->
                    vm.engines.forEach { it.faults = EngineFaults(draining = true) }
                },
                Triple("unknown", "backend_failed") { vm: TestVm ->
                    vm.engines[0].faults =
                        EngineFaults(rejectStatus = 400)
                },
            )
        for ((ran, kind, injectFault) in cases) {
            TestVm(engines = 4).use { vm ->
                injectFault(vm)
                val response = vm.chat(TestVm.body("r"))
                assertTrue(response.body().contains(""""ran":"$ran""""), response.body())
                assertTrue(response.body().contains(""""kind":"$kind""""), response.body())
                assertEquals(CountingUsageMeter.Sum(), vm.usage.of("huerta"))
            }
        }
    }

    /** Guards against an unreachable engine that appears idle and so costs every request a retry. */
    @Test
    fun `an engine that refuses connections is avoided`() {
        TestVm().use { vm ->
            vm.engines[0].stop()
            val responses = (1..30).map { vm.chat(TestVm.body("left $it", tokens = 1)) }
            assertEquals(emptyList(), responses.filter { it.statusCode() != 200 }.map { it.body() })
            val failedStarts = vm.policy.starts.count { it.server.value == "engine-0" }
            assertTrue(failedStarts in 1..3, "$failedStarts starts on an unreachable engine")
        }
    }

    /** Guards against retrying a request that is itself a retry, which would multiply across VMs. */
    @Test
    fun `a request marked as a retry is not retried`() {
        TestVm().use { vm ->
            vm.engines[0].faults = EngineFaults(cutAtToken = 0)
            val response = vm.chat(TestVm.body("again"), TestVm.KEY, "X-Attempt" to "2")
            assertEquals(502, response.statusCode())
            assertEquals(1, vm.policy.starts.size)
        }
    }

    /** Guards against lost or duplicate tokens when a stream is preempted for a higher tier. */
    @Test
    fun `a preempted stream resumes at the token where it stopped`() {
        TestVm(tokensPerSecond = 100.0).use { vm ->
            vm.policy.preemptAtTokens += listOf(1, 2, 7)
            val response = vm.chat(TestVm.body("pause", tokens = 40, stream = true))
            assertEquals(TestVm.expectedText("pause", 40), SseText.text(response.body()))
            assertTrue(SseText.isDone(response.body()))
            assertEquals(4, vm.policy.starts.size)
            assertEquals(40, vm.usage.of("huerta").generatedTokens)
        }
    }

    /** Guards against generating beyond the deadline of the caller. */
    @Test
    fun `an expired deadline ends the request and its generation`() {
        TestVm(tokensPerSecond = 50.0).use { vm ->
            val response = vm.chat(TestVm.body("late", tokens = 500), TestVm.KEY, "X-Deadline-Ms" to "300")
            assertEquals(504, response.statusCode(), response.body())
            assertTrue(response.body().contains(""""ran":"yes""""), response.body())
            eventually {
                vm.engines[0]
                    .received()
                    .requests
                    .single()
                    .run { cancelled || disconnected }
            }
        }
    }

    /** Guards against retries of a request that crashed an engine while the peers are not yet notified of the crash. */
    @Test
    fun `a request that crashed an engine waits until the peers are notified`() {
        for (requestClass in listOf("quick-chat", "note")) {
            val reported = CompletableDeferred<Unit>()
            val peersNotified = CompletableDeferred<Unit>()
            val reporter =
                CrashReporter { _, _ ->
                    reported.complete(Unit)
                    peersNotified.await()
                }
            TestVm(crashReporter = reporter).use { vm ->
                vm.engines[0].faults = EngineFaults(crashAtToken = 7)
                runBlocking(Dispatchers.IO) {
                    val response = async { vm.chat(TestVm.body("x"), TestVm.KEY, "X-Request-Class" to requestClass) }
                    withTimeout(10_000) { reported.await() }
                    delay(200)
                    assertEquals(1 to false, vm.policy.starts.size to response.isCompleted, requestClass)
                    peersNotified.complete(Unit)
                    response.await()
                }
            }
        }
    }
}
