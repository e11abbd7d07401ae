package io.tarragonport.standin.engine

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import java.net.http.HttpResponse
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that may not be repeated run at most once, whatever breaks (G10). */
class AtMostOnceTest {
    private fun deposit(
        vm: TestVm,
        key: String,
        body: String = "amount=5",
    ): HttpResponse<String> =
        vm.post("/v1/services/ledger/deposits", body, "X-Request-Class" to "deposit", "Idempotency-Key" to key)

    /** Guards against a second run after an answer that was lost on its way back. */
    @Test
    fun `a lost answer is unknown and stays unknown`() {
        TestVm().use { vm ->
            vm.service.faults = ServiceFaults(dropAfter = true, remaining = 1)
            val first = deposit(vm, "lost")
            assertEquals(502, first.statusCode())
            assertTrue(first.body().contains(""""ran":"unknown""""), first.body())
            assertEquals(first.body(), deposit(vm, "lost").body())
            assertEquals(
                1,
                vm.service
                    .received()
                    .executed.size,
            )
        }
    }

    /** Guards against claims that block a request that certainly did not run. */
    @Test
    fun `a request that was not sent can be sent later`() {
        TestVm().use { vm ->
            vm.service.stop()
            val first = deposit(vm, "unsent")
            assertTrue(first.body().contains(""""ran":"no""""), first.body())
            assertEquals(0, vm.intents.held)
        }
    }

    /** Guards against sending before the intent is durable. */
    @Test
    fun `nothing is sent while the intent cannot be recorded`() {
        TestVm().use { vm ->
            vm.intents.unavailable = RequestError(ErrorKind.STORE_UNAVAILABLE, "away", ExecutionStatus.UNKNOWN)
            val answer = deposit(vm, "store")
            assertEquals(503, answer.statusCode())
            assertTrue(answer.body().contains(""""ran":"no""""), answer.body())
            assertTrue(
                vm.service
                    .received()
                    .executed
                    .isEmpty(),
            )
        }
    }

    /** Guards against a doubled run when a caller repeats before the first answer. */
    @Test
    fun `repeats at the same time run once`() {
        TestVm(slots = 16).use { vm ->
            vm.service.faults = ServiceFaults(delayMs = 100)
            runBlocking(Dispatchers.IO) {
                val answers = List(8) { async { deposit(vm, "race") } }.awaitAll()
                assertEquals(1, answers.count { it.statusCode() == 200 })
                assertTrue(answers.filter { it.statusCode() != 200 }.all { "outcome_unknown" in it.body() })
            }
            assertEquals(200, deposit(vm, "race").statusCode())
            assertEquals(
                1,
                vm.service
                    .received()
                    .executed.size,
            )
        }
    }

    /** Guards against outcomes that are lost because the caller hung up. */
    @Test
    fun `the outcome is recorded although the caller left`() {
        TestVm().use { vm ->
            vm.service.faults = ServiceFaults(delayMs = 200)
            val request =
                "POST /v1/services/ledger/deposits HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${TestVm.KEY}\r\n" +
                    "X-Request-Class: deposit\r\nIdempotency-Key: left\r\nContent-Length: 8\r\n\r\namount=5"
            val socket = vm.socket(request)
            eventually { vm.dispatcher.size == 1 }
            socket.close()
            eventually { vm.dispatcher.size == 0 }
            eventually { deposit(vm, "left").statusCode() == 200 }
            assertEquals(
                1,
                vm.service
                    .received()
                    .executed.size,
            )
        }
    }

    /** Guards against a doubled gate command on a model engine. */
    @Test
    fun `a chat that may not be repeated runs once and is replayed`() {
        TestVm().use { vm ->
            val headers = arrayOf("X-Request-Class" to "gate", "Idempotency-Key" to "g")
            vm.engines[0].faults = EngineFaults(cutAtToken = 3)
            val broken = vm.chat(TestVm.body("gate"), TestVm.KEY, *headers)
            assertTrue(broken.body().contains(""""ran":"yes""""), broken.body())
            assertEquals(broken.body(), vm.chat(TestVm.body("gate"), TestVm.KEY, *headers).body())
            vm.engines[0].faults = EngineFaults()
            for (stream in listOf(true, false)) {
                val again = arrayOf("X-Request-Class" to "gate", "Idempotency-Key" to "h$stream")
                val answers = List(2) { vm.chat(TestVm.body("gate", stream = stream), TestVm.KEY, *again).body() }
                assertEquals(answers[0], answers[1])
                assertTrue(TestVm.expected("gate") in answers[0], answers[0])
            }
            assertEquals(3, vm.engines.sumOf { it.received().requests.size })
        }
    }
}
