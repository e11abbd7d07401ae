package io.tarragonport.daemon.lease

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.daemon.store.Fault
import io.tarragonport.daemon.store.FaultyObjectStore
import io.tarragonport.daemon.store.InMemoryObjectStore
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Runs lease loops in virtual time against an object store with injected faults. */
class LeaseLoopTest {
    private class Call(
        val vm: String,
        val token: Long,
        val startMs: Long,
        val endMs: Long,
    )

    /**
     * Guards against overlapping calls of two holders and against decreasing fencing tokens, while responses are lost or
     * delayed, processes are paused, and clocks drift by 5%.
     */
    @ParameterizedTest
    @ValueSource(ints = [0, 10, 20, 30, 40, 50, 60, 70, 80, 90])
    fun `calls of two holders never overlap`(firstSeed: Int) {
        for (seed in firstSeed until firstSeed + SEEDS_PER_CASE) {
            runTest(timeout = 1.minutes) {
                val calls = simulate(Random(seed))
                assertTrue(calls.size > MINIMUM_CALLS, "seed $seed: only ${calls.size} calls")
                calls.sortedBy { it.startMs }.zipWithNext { earlier, later ->
                    val disjoint = earlier.vm == later.vm || earlier.endMs <= later.startMs
                    assertTrue(disjoint, "seed $seed: ${earlier.vm} and ${later.vm} overlap at ${later.startMs}")
                    assertTrue(earlier.token <= later.token, "seed $seed: token decreased at ${later.startMs}")
                    assertTrue(earlier.vm == later.vm || earlier.token < later.token, "seed $seed: shared token")
                }
            }
        }
    }

    /** Guards against a released lease that is not taken over, and against a release that hangs during an outage. */
    @Test
    fun `a released lease is taken over and a release during an outage times out`() =
        runTest {
            val store = FaultyObjectStore(InMemoryObjectStore(), backgroundScope)
            val first = loop("a", store, 1.0)
            backgroundScope.launch { first.run() }
            delay(5.seconds)
            assertEquals(1, first.authorize(3.seconds)?.value)
            val second = loop("b", store, 1.0)
            backgroundScope.launch { second.run() }
            delay(1.seconds)
            first.release()
            assertEquals(null, first.authorize(Duration.ZERO))
            delay(6.seconds)
            assertEquals(2, second.authorize(3.seconds)?.value)
            store.outage = true
            val before = testScheduler.currentTime
            second.release()
            assertEquals(4_000, testScheduler.currentTime - before)
            assertEquals(null, second.authorize(Duration.ZERO))
        }

    /** Guards the platform's call budget: one write per renewal interval and one read per interval and observer. */
    @Test
    fun `a stable lease costs one write per renewal and one read per observation`() =
        runTest {
            val store = FaultyObjectStore(InMemoryObjectStore(), backgroundScope)
            repeat(3) { index -> backgroundScope.launch { loop("vm-$index", store, 1.0).run() } }
            delay(30.seconds)
            val reads = store.reads
            val writes = store.writes
            delay(60.seconds)
            assertEquals(40, store.reads - reads, "reads")
            assertEquals(20, store.writes - writes, "writes")
        }

    private suspend fun TestScope.simulate(random: Random): List<Call> {
        val calls = mutableListOf<Call>()
        val store =
            FaultyObjectStore(
                store = InMemoryObjectStore(),
                platform = backgroundScope,
                faultOf = { _, _ -> if (random.nextInt(4) == 0) Fault.entries.random(random) else null },
                delayOf = { fault -> random.nextLong(if (fault == null) 2_000 else 15_000).milliseconds },
            )
        val rates = listOf(0.95, 1.0, 1.05).shuffled(random)
        rates.forEachIndexed { index, rate ->
            val pausable = PausableStore(store)
            val loop = loop("vm-$index", pausable, rate)
            backgroundScope.launch { loop.run() }
            backgroundScope.launch { pauseAtRandom(pausable, random) }
            backgroundScope.launch { makeCalls("vm-$index", loop, pausable, random, calls) }
        }
        outages(store, random)
        return calls
    }

    private suspend fun outages(
        store: FaultyObjectStore,
        random: Random,
    ) {
        repeat(10) {
            delay(random.nextLong(60_000).milliseconds)
            store.outage = true
            delay(random.nextLong(20_000).milliseconds)
            store.outage = false
        }
    }

    private suspend fun pauseAtRandom(
        store: PausableStore,
        random: Random,
    ) {
        while (true) {
            delay(random.nextLong(60_000).milliseconds)
            store.paused.value = true
            delay(random.nextLong(25_000).milliseconds)
            store.paused.value = false
        }
    }

    /** Makes a call whenever the guard authorises one; calls take up to 3 s. */
    private suspend fun TestScope.makeCalls(
        name: String,
        guard: LeaseGuard,
        store: PausableStore,
        random: Random,
        calls: MutableList<Call>,
    ) {
        while (true) {
            delay(100.milliseconds)
            val token = if (store.paused.value) null else guard.authorize(LONGEST_CALL)
            if (token != null) {
                val start = testScheduler.currentTime
                calls += Call(name, token.value, start, start + random.nextLong(LONGEST_CALL.inWholeMilliseconds))
            }
        }
    }

    private fun TestScope.loop(
        name: String,
        store: ObjectStore,
        rate: Double,
    ) = LeaseLoop(
        name = "orders/lima",
        owner = LeaseOwner(VmId(name), Incarnation(1)),
        store = store,
        dispatcher = StandardTestDispatcher(testScheduler),
        clock = DriftingTimeSource(testScheduler.timeSource, rate),
    )

    companion object {
        private const val SEEDS_PER_CASE = 3
        private const val MINIMUM_CALLS = 100
        private val LONGEST_CALL = 3.seconds
    }
}
