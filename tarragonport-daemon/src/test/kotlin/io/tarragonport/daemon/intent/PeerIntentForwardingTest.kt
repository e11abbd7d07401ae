package io.tarragonport.daemon.intent

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.membership.RendezvousSelection
import io.tarragonport.daemon.peer.TestFleet
import io.tarragonport.daemon.store.FaultyObjectStore
import io.tarragonport.daemon.store.InMemoryObjectStore
import io.tarragonport.daemon.store.VirtualWallClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that run twice or not at all if the owner of a bucket fails, responds late or is not the only
 * owner.
 */
class PeerIntentForwardingTest {
    private val organisation = OrganisationId("org")
    private val owner = "vm-0"

    private class Case(
        val description: String,
        val callers: List<String>,
        val inject: suspend (TestFleet) -> Unit,
    )

    private val otherVms = List(4) { "vm-${it + 1}" }
    private val cases =
        listOf(
            Case("no fault", otherVms) { },
            Case("owner killed", otherVms) { it.stop(owner) },
            Case("owner frozen", otherVms) { freeze(it, 3.seconds) },
            Case("responses late", otherVms) { delayResponses(it, 350.milliseconds) },
            Case("all messages late", otherVms) { fleet -> fleet.network.extraDelay = { _, _ -> 200.milliseconds } },
            Case("responses lost", otherVms) { it.network.drops = { from, _ -> from == owner } },
            Case("two owners", otherVms + owner) { it.partition(setOf(owner, "vm-1")) },
        )

    private suspend fun freeze(
        fleet: TestFleet,
        time: Duration,
    ) {
        val dispatcher = fleet.vms.getValue(owner).dispatcher
        dispatcher.frozen = true
        delay(time)
        dispatcher.frozen = false
    }

    private fun delayResponses(
        fleet: TestFleet,
        time: Duration,
    ) {
        fleet.network.extraDelay = { from, _ -> if (from == owner) time else Duration.ZERO }
    }

    @Test
    fun `each key runs exactly once`() {
        for (case in cases) {
            for (seed in 1..SEEDS) runTest { Simulation(this, case, seed).run() }
        }
    }

    private inner class Simulation(
        private val scope: TestScope,
        private val case: Case,
        seed: Int,
    ) {
        private val label = "${case.description}, seed $seed"
        private val random = Random(seed)
        private val fleet = TestFleet(scope, size = 5, seed = seed)
        private val store =
            FaultyObjectStore(InMemoryObjectStore(), scope.backgroundScope, { _, _ -> null }, { 5.milliseconds })
        private val registries = HashMap<String, ObjectStoreIntentRegistry>()
        private val runs = HashMap<String, Int>()
        private var requests = 0
        private var outcomes = 0

        /** Callers send each key to several VMs while the fault begins and ends. */
        suspend fun run() {
            fleet.setOrganisation("org")
            fleet.startAll()
            fleet.names.forEach { registries[it] = registry(it) }
            delay(10.seconds)
            fleet.network.onSend = { envelope, _ ->
                if (envelope.message is PeerMessage.IntentCommit) requests += 1
                if (envelope.message is PeerMessage.IntentCommitted) outcomes += 1
            }
            val keys = ownedKeys()
            for ((index, key) in keys.withIndex()) {
                if (index == keys.size / 4) scope.backgroundScope.launch { case.inject(fleet) }
                repeat(3) { call(case.callers.random(random), key) }
                delay(random.nextInt(400).milliseconds)
            }
            delay(20.seconds)
            println("$label: $requests operations forwarded, $outcomes outcomes returned")
            assertEquals(keys.associateWith { 1 }, runs, label)
            assertTrue(outcomes > 0, "$label: nothing was forwarded")
        }

        private fun registry(name: String): ObjectStoreIntentRegistry {
            val vm = fleet.vms.getValue(name)
            val vmScope = CoroutineScope(scope.backgroundScope.coroutineContext + vm.job + vm.dispatcher)
            val forwarding = PeerIntentForwarding(VmId(name), vm.node, vm.node, vmScope, scope.testTimeSource)
            val registry =
                ObjectStoreIntentRegistry(
                    store = store,
                    vm = VmId(name),
                    incarnation = Incarnation(1),
                    scope = vmScope,
                    clock = VirtualWallClock(scope.testScheduler),
                    timeSource = scope.testScheduler.timeSource,
                    forwarding = forwarding,
                    random = Random(random.nextLong()),
                )
            forwarding.serve(registry::commitForwarded)
            return registry
        }

        private fun call(
            name: String,
            key: String,
        ) {
            val wait = random.nextInt(600).milliseconds
            val vm = fleet.vms[name] ?: return
            scope.backgroundScope.launch(vm.dispatcher) {
                delay(wait)
                val registry = registries.getValue(name)
                val result = registry.claim(organisation, key, "body", 24).getOrNull()
                if (result is ClaimResult.Granted) {
                    runs.merge(key, 1, Int::plus)
                    delay(50.milliseconds)
                    registry.finish(result.grant, RecordedResponse(200, "text/plain", key))
                }
            }
        }

        /** Keys of buckets that [owner] owns while all VMs are live. */
        private fun ownedKeys(): List<String> =
            generateSequence(0) { it + 1 }
                .map { "key-$it" }
                .filter { key ->
                    val bucket = IntentNames.bucket(IntentNames.digest(organisation, key))
                    RendezvousSelection.choose("intents/$bucket", fleet.names.map(::VmId)) == VmId(owner)
                }.take(KEYS)
                .toList()
    }

    private companion object {
        const val SEEDS = 3
        const val KEYS = 60
    }
}
