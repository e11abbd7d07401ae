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

/** Non-repeatable requests must be executed at most once, whatever fails. */
class AtMostOnceTest {
    private fun deposit(
        vm: TestVm,
        key: String,
        body: String = "amount=5",
    ): HttpResponse<String> =
        vm.post("/v1/services/ledger/deposits", body, "X-Request-Class" to "deposit", "Idempotency-Key" to key)

    /** Guards against a second execution after the response of the first one was lost. */
    @Test
    fun `a lost response leaves the outcome unknown, also for a retry`() {
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

    /** Guards against claims that block the retry of a request that was certainly not executed. */
    @Test
    fun `a request that was not sent releases its claim`() {
        TestVm().use { vm ->
            vm.service.stop()
            val first = deposit(vm, "unsent")
            assertTrue(first.body().contains(""""ran":"no""""), first.body())
            assertEquals(0, vm.intents.size)
        }
    }

    /** Guards against sending a request before its intent is durable. */
    @Test
    fun `nothing is sent while the intent cannot be recorded`() {
        TestVm().use { vm ->
            vm.intents.claimError = RequestError(ErrorKind.STORE_UNAVAILABLE, "unavailable", ExecutionStatus.UNKNOWN)
            val response = deposit(vm, "store")
            assertEquals(503, response.statusCode())
            assertTrue(response.body().contains(""""ran":"no""""), response.body())
            assertTrue(
                vm.service
                    .received()
                    .executed
                    .isEmpty(),
            )
        }
    }

    /** Guards against a duplicate execution when a caller retries before the first response. */
    @Test
    fun `concurrent retries are executed once`() {
        TestVm(slots = 16).use { vm ->
            vm.service.faults = ServiceFaults(delayMs = 100)
            runBlocking(Dispatchers.IO) {
                val responses = List(8) { async { deposit(vm, "race") } }.awaitAll()
                assertEquals(1, responses.count { it.statusCode() == 200 })
                assertTrue(responses.filter { it.statusCode() != 200 }.all { "outcome_unknown" in it.body() })
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

    /** Guards against losing the outcome when the caller disconnects. */
    @Test
    fun `the outcome is recorded although the caller disconnected`() {
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

    /** Guards against a duplicate execution of a non-repeatable chat request on a model engine. */
    @Test
    fun `a non-repeatable chat is executed once and its response is replayed`() {
        TestVm().use { vm ->
            val headers = arrayOf("X-Request-Class" to "gate", "Idempotency-Key" to "g")
            vm.engines[0].faults = EngineFaults(cutAtToken = 3)
            val broken = vm.chat(TestVm.body("gate"), TestVm.KEY, *headers)
            assertTrue(broken.body().contains(""""ran":"yes""""), broken.body())
            assertEquals(broken.body(), vm.chat(TestVm.body("gate"), TestVm.KEY, *headers).body())
            vm.engines[0].faults = EngineFaults()
            for (stream in listOf(true, false)) {
                val again = arrayOf("X-Request-Class" to "gate", "Idempotency-Key" to "h$stream")
                val responses = List(2) { vm.chat(TestVm.body("gate", stream = stream), TestVm.KEY, *again).body() }
                assertEquals(responses[0], responses[1])
                assertTrue(TestVm.expectedText("gate") in responses[0], responses[0])
            }
            assertEquals(3, vm.engines.sumOf { it.received().requests.size })
        }
    }
}
