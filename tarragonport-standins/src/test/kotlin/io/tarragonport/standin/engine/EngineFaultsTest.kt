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

/** Answers through one VM while an engine misbehaves (G8: a caller receives the complete answer to its own request). */
class EngineFaultsTest {
    private val spoiling =
        mapOf(
            "cut after five" to EngineFaults(cutAtToken = 5),
            "cut before the first" to EngineFaults(cutAtToken = 0),
            "cut before the final chunk" to EngineFaults(cutAtToken = 20),
            "another request's id" to EngineFaults(wrongIdAtToken = 4),
            "skipped" to EngineFaults(skipAtToken = 3),
            "last skipped" to EngineFaults(skipAtToken = 19),
            "reordered" to EngineFaults(reorderAtToken = 6),
            "stalled" to EngineFaults(stallAtToken = 5),
            "crash" to EngineFaults(crashAtToken = 7),
        )
    private val harmless = mapOf("duplicate" to EngineFaults(duplicateAtToken = 2))
    private val refusing =
        mapOf(
            "server error" to EngineFaults(rejectStatus = 500),
            "draining" to EngineFaults(draining = true),
        )

    /** Guards against lost, doubled, changed or foreign tokens, and against doubled billing, after a resume. */
    @Test
    fun `answers are complete whatever one engine does`() {
        for ((name, faults) in spoiling + harmless + refusing) {
            for (stream in listOf(true, false)) {
                TestVm().use { vm ->
                    vm.engines[0].faults = faults
                    val answer = vm.chat(TestVm.body("p $name", stream = stream))
                    assertEquals(200, answer.statusCode(), "$name ${answer.body()}")
                    val expected = TestVm.expected("p $name")
                    if (stream) {
                        assertEquals(expected, SseText.text(answer.body()), name)
                        assertTrue(SseText.isDone(answer.body()), name)
                    } else {
                        assertTrue(answer.body().contains("\"$expected\""), "$name ${answer.body()}")
                    }
                    assertEquals(20, vm.usage.of("huerta").generatedTokens, name)
                    assertEquals(1, vm.usage.of("huerta").requests, name)
                    assertEquals(if (name in harmless) 1 else 2, vm.policy.starts.size, name)
                }
            }
        }
    }

    /** Guards against a broken answer that looks complete. */
    @Test
    fun `an answer that cannot be resumed ends in an error event`() {
        for ((name, faults) in spoiling) {
            if (name == "cut before the first") continue
            TestVm().use { vm ->
                vm.engines[0].faults = faults
                val answer = vm.chat(TestVm.body("q $name", stream = true), TestVm.KEY, "X-Request-Class" to "note")
                assertFalse(SseText.isDone(answer.body()), name)
                assertEquals("answer_incomplete", SseText.errorKind(answer.body()), "$name ${answer.body()}")
                assertTrue(answer.body().contains(""""ran":"yes""""), name)
                assertTrue(TestVm.expected("q $name").startsWith(SseText.text(answer.body())), name)
                assertEquals(1, vm.policy.starts.size, name)
            }
        }
    }

    /** Guards against `ran: no` for a request that some server may have seen, and the reverse. */
    @Test
    fun `ran says whether a server can have seen the request`() {
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
        for ((ran, kind, break_) in cases) {
            TestVm(engines = 4).use { vm ->
                break_(vm)
                val answer = vm.chat(TestVm.body("r"))
                assertTrue(answer.body().contains(""""ran":"$ran""""), answer.body())
                assertTrue(answer.body().contains(""""kind":"$kind""""), answer.body())
                assertEquals(CountingUsage.Sum(), vm.usage.of("huerta"))
            }
        }
    }

    /** Guards against an engine that is gone but looks idle and so costs every request a retry. */
    @Test
    fun `an engine that refuses connections is left alone`() {
        TestVm().use { vm ->
            vm.engines[0].stop()
            val answers = (1..30).map { vm.chat(TestVm.body("left $it", tokens = 1)) }
            assertEquals(emptyList(), answers.filter { it.statusCode() != 200 }.map { it.body() })
            val wasted = vm.policy.starts.count { it.server.value == "engine-0" }
            assertTrue(wasted in 1..3, "$wasted starts on an engine that is gone")
        }
    }

    /** Guards against retries of what is already a retry, which would multiply over VMs. */
    @Test
    fun `a request marked as a retry is not retried`() {
        TestVm().use { vm ->
            vm.engines[0].faults = EngineFaults(cutAtToken = 0)
            val answer = vm.chat(TestVm.body("again"), TestVm.KEY, "X-Attempt" to "2")
            assertEquals(502, answer.statusCode())
            assertEquals(1, vm.policy.starts.size)
        }
    }

    /** Guards against lost or doubled tokens when a stream is paused for a higher tier. */
    @Test
    fun `a preempted stream goes on where it stopped`() {
        TestVm(tokensPerSecond = 100.0).use { vm ->
            vm.policy.preemptAt += listOf(1, 2, 7)
            val answer = vm.chat(TestVm.body("pause", tokens = 40, stream = true))
            assertEquals(TestVm.expected("pause", 40), SseText.text(answer.body()))
            assertTrue(SseText.isDone(answer.body()))
            assertEquals(4, vm.policy.starts.size)
            assertEquals(40, vm.usage.of("huerta").generatedTokens)
        }
    }

    /** Guards against answers after the caller stopped waiting. */
    @Test
    fun `a deadline ends the request and its engine`() {
        TestVm(tokensPerSecond = 50.0).use { vm ->
            val answer = vm.chat(TestVm.body("late", tokens = 500), TestVm.KEY, "X-Deadline-Ms" to "300")
            assertEquals(504, answer.statusCode(), answer.body())
            assertTrue(answer.body().contains(""""ran":"yes""""), answer.body())
            eventually {
                vm.engines[0]
                    .received()
                    .requests
                    .single()
                    .run { cancelled || disconnected }
            }
        }
    }

    /** Guards against a suspect that runs again, here or through its caller, before the peers know of the crash. */
    @Test
    fun `a request that crashed an engine waits until the peers know`() {
        for (requestClass in listOf("quick-chat", "note")) {
            val reported = CompletableDeferred<Unit>()
            val known = CompletableDeferred<Unit>()
            val reports =
                CrashReporter { _, _ ->
                    reported.complete(Unit)
                    known.await()
                }
            TestVm(crashes = reports).use { vm ->
                vm.engines[0].faults = EngineFaults(crashAtToken = 7)
                runBlocking(Dispatchers.IO) {
                    val answer = async { vm.chat(TestVm.body("x"), TestVm.KEY, "X-Request-Class" to requestClass) }
                    withTimeout(10_000) { reported.await() }
                    delay(200)
                    assertEquals(1 to false, vm.policy.starts.size to answer.isCompleted, requestClass)
                    known.complete(Unit)
                    answer.await()
                }
            }
        }
    }
}
