package io.tarragonport.daemon.intent

import arrow.core.Either
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.daemon.store.Fault
import io.tarragonport.daemon.store.FaultyObjectStore
import io.tarragonport.daemon.store.InMemoryObjectStore
import io.tarragonport.daemon.store.VirtualWallClock
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that run twice, recorded responses that are lost, and wrong errors of the registry. */
class ObjectStoreIntentRegistryTest {
    private val memory = InMemoryObjectStore()
    private val response = RecordedResponse(201, "application/json", "e30=")

    @Test
    fun `a repeat on another VM gets the recorded response`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val first = registry(store, "vm-1")
            val second = registry(store, "vm-2")
            first.finish(granted(first.claim("k")), response)
            // No delay: a caller that repeats right after its response must not get an unknown outcome.
            assertEquals(Either.Right(ClaimResult.Finished(response)), second.claim("k"))
        }

    @Test
    fun `a response over the inline limit is stored in its own object`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val large = response.copy(bodyBase64 = "A".repeat(5000))
            val first = registry(store, "vm-1")
            first.finish(granted(first.claim("k")), large)
            delay(1.seconds)
            assertTrue(memory.names.any { it.startsWith("intents/answers/") })
            assertEquals(Either.Right(ClaimResult.Finished(large)), registry(store, "vm-2").claim("k"))
        }

    @Test
    fun `a started request is reported as started and another body as different`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            granted(registry(store, "vm-1").claim("k"))
            val second = registry(store, "vm-2")
            assertEquals(Either.Right(ClaimResult.Started), second.claim("k"))
            assertEquals(Either.Right(ClaimResult.DifferentBody), second.claim("k", body = "other"))
        }

    @Test
    fun `a released claim can be claimed again`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val first = registry(store, "vm-1")
            first.release(granted(first.claim("k")))
            delay(1.seconds)
            granted(registry(store, "vm-2").claim("k"))
        }

    @Test
    fun `concurrent copies on several VMs get one grant`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val registries = List(7) { registry(store, "vm-$it") }
            val results = registries.flatMap { r -> List(3) { async { r.claim("k") } } }.awaitAll()
            assertEquals(1, results.count { it.getOrNull() is ClaimResult.Granted })
            assertEquals(20, results.count { it.getOrNull() is ClaimResult.Started })
        }

    @Test
    fun `claims that arrive together share one write`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val registry = registry(store, "vm-1")
            val keys = keysOfOneBucket(20)
            keys.map { async { granted(registry.claim(it)) } }.awaitAll()
            assertEquals(1, store.writes)
        }

    @Test
    fun `a claim is granted after each fault of its write`() =
        runTest {
            for (fault in Fault.entries) {
                val faults = ArrayDeque(listOf(fault))
                val store = FaultyObjectStore(InMemoryObjectStore(), backgroundScope, faultPut(faults))
                assertIs<ClaimResult.Granted>(registry(store, "vm-1").claim("k").getOrNull(), "$fault")
            }
        }

    @Test
    fun `during an outage claims are refused with ran no and the key stays free`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val registry = registry(store, "vm-1")
            store.outage = true
            val error = assertIs<Either.Left<RequestError>>(registry.claim("k")).value
            assertEquals(ErrorKind.STORE_UNAVAILABLE to ExecutionStatus.NO, error.kind to error.executionStatus)
            assertEquals(2000, currentTime)
            store.outage = false
            delay(5.seconds)
            granted(registry(store, "vm-2").claim("k"))
        }

    @Test
    fun `a write that takes effect after its claim was refused is withdrawn`() =
        runTest {
            val faults = ArrayDeque(listOf(Fault.EFFECT_DELAYED))
            val store = FaultyObjectStore(memory, backgroundScope, faultPut(faults), delays(3.seconds))
            val registry = registry(store, "vm-1")
            val claim = async { registry.claim("k") }
            delay(25.milliseconds)
            store.outage = true
            assertIs<Either.Left<RequestError>>(claim.await())
            delay(2.seconds)
            store.outage = false
            delay(10.seconds)
            granted(registry(store, "vm-2").claim("k"))
        }

    @Test
    fun `a write in flight when its claim is withdrawn can no longer take effect`() =
        runTest {
            val faults = ArrayDeque(listOf(Fault.EFFECT_DELAYED))
            val store = FaultyObjectStore(memory, backgroundScope, faultPut(faults), delays(20.seconds))
            val registry = registry(store, "vm-1")
            val claim = async { registry.claim("k") }
            delay(25.milliseconds)
            store.outage = true
            assertIs<Either.Left<RequestError>>(claim.await())
            store.outage = false
            delay(60.seconds)
            granted(registry(store, "vm-2").claim("k"))
        }

    @Test
    fun `a claim whose caller was cancelled is released`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val registry = registry(store, "vm-1")
            val caller = launch { registry.claim("k") }
            delay(21.milliseconds)
            caller.cancelAndJoin()
            delay(1.seconds)
            granted(registry(store, "vm-2").claim("k"))
        }

    @Test
    fun `a response is recorded after an outage that began before it`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val registry = registry(store, "vm-1")
            val grant = granted(registry.claim("k"))
            store.outage = true
            launch { registry.finish(grant, response) }
            delay(120.seconds)
            store.outage = false
            assertTrue(registry.settle(10.seconds))
            assertEquals(Either.Right(ClaimResult.Finished(response)), registry(store, "vm-2").claim("k"))
        }

    @Test
    fun `responses beyond the memory limit are dropped and their keys stay started`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val registry = registry(store, "vm-1", IntentSettings(pendingBytesLimit = 1000))
            val grants = listOf("a", "b").map { granted(registry.claim(it)) }
            store.outage = true
            grants.forEach { grant -> launch { registry.finish(grant, response) } }
            runCurrent()
            store.outage = false
            assertTrue(registry.settle(10.seconds))
            val second = registry(store, "vm-2")
            assertEquals(Either.Right(ClaimResult.Finished(response)), second.claim("a"))
            assertEquals(Either.Right(ClaimResult.Started), second.claim("b"))
        }

    @Test
    fun `sealed keys stay claimed until their retention ends`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val settings = IntentSettings(sealBytes = 2000)
            val registry = registry(store, "vm-1", settings)
            val keys = keysOfOneBucket(30)
            for (key in keys) {
                registry.finish(granted(registry.claim(key)), response)
                delay(1.seconds)
            }
            assertTrue(memory.names.any { "sealed" in it })
            val second = registry(store, "vm-2", settings)
            keys.forEach { assertEquals(Either.Right(ClaimResult.Finished(response)), second.claim(it)) }
            delay(25.hours)
            keys.forEach { granted(second.claim(it)) }
            assertTrue(memory.names.none { "sealed" in it })
        }

    @Test
    fun `claims of several VMs share one write at the owner of their bucket`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val owner = registry(store, "owner")
            val registries = List(5) { registry(store, "vm-$it", forwarding = OwnerForwarding(owner)) }
            val claims = keysOfOneBucket(5).zip(registries)
            claims.map { (key, registry) -> async { granted(registry.claim(key)) } }.awaitAll()
            assertEquals(1, store.writes)
        }

    @Test
    fun `a VM whose bucket owner does not respond commits locally and is granted its own attempt`() =
        runTest {
            val store = FaultyObjectStore(memory, backgroundScope)
            val owner = registry(store, "owner")
            val first = registry(store, "vm-1", forwarding = OwnerForwarding(owner, responds = false))
            first.finish(granted(first.claim("k")), response)
            assertTrue(first.settle(5.seconds))
            assertEquals(Either.Right(ClaimResult.Finished(response)), owner.claim("k"))
        }

    private class OwnerForwarding(
        private val owner: ObjectStoreIntentRegistry,
        private val responds: Boolean = true,
    ) : IntentForwarding {
        override fun ownerOf(bucket: Int) = VmId("owner")

        override suspend fun commit(
            owner: VmId,
            operation: IntentOperation,
        ): IntentOutcome? = this.owner.commitForwarded(operation).takeIf { responds }
    }

    private fun faultPut(faults: ArrayDeque<Fault>) =
        { verb: String, _: String -> if (verb == "put") faults.removeFirstOrNull() else null }

    private fun delays(effect: Duration) = { fault: Fault? -> if (fault == null) 2.milliseconds else effect }

    private fun TestScope.registry(
        store: FaultyObjectStore,
        vm: String,
        settings: IntentSettings = IntentSettings(),
        forwarding: IntentForwarding = IntentForwarding.None,
    ) = ObjectStoreIntentRegistry(
        store = store,
        vm = VmId(vm),
        incarnation = Incarnation(1),
        scope = backgroundScope,
        clock = VirtualWallClock(testScheduler),
        timeSource = testScheduler.timeSource,
        settings = settings,
        forwarding = forwarding,
        random = Random(1),
    )

    private suspend fun IntentRegistry.claim(
        key: String,
        body: String = "body",
    ) = claim(OrganisationId("org"), key, body, 24)

    private fun granted(result: Either<RequestError, ClaimResult>) =
        assertIs<ClaimResult.Granted>(result.getOrNull()).grant

    private fun keysOfOneBucket(count: Int) =
        generateSequence(0) { it + 1 }
            .map { "key-$it" }
            .filter { bucketOf(it) == 3 }
            .take(count)
            .toList()

    private fun bucketOf(key: String) = IntentNames.bucket(IntentNames.digest(OrganisationId("org"), key))
}
