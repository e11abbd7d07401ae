package io.tarragonport.daemon.gateway.restore

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.ServerEntryChange
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.gateway.fleet.FleetIntervals
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.core.store.StoreEras
import io.tarragonport.daemon.gateway.control.ConfigurationUpdater
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.GatewayPeers
import io.tarragonport.daemon.gateway.control.ObjectWatcher
import io.tarragonport.daemon.gateway.control.ServerListUpdater
import io.tarragonport.daemon.peer.PeerTransport
import io.tarragonport.daemon.store.FaultyObjectStore
import io.tarragonport.daemon.store.InMemoryObjectStore
import io.tarragonport.wire.ServerWire
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a server list that differs from the store's after the store was restored from an older copy, whose
 * revisions are lower than those known and are assigned again.
 */
class RestoredListTest {
    private class Case(
        val name: String,
        val script: suspend Fixture.() -> Unit,
        val expected: Map<String, Boolean>,
    )

    /** One VM that watches the servers, and the store that it watches. */
    private class Fixture(
        private val scope: TestScope,
    ) {
        private val store = InMemoryObjectStore()
        private val network = FaultyObjectStore(store, scope.backgroundScope, delayOf = { 50.milliseconds })
        private val clock = scope.testScheduler.timeSource
        private val log = ControlLog { _, _ -> }
        private val eras = StoreEras()
        private val view = VmStore(network, eras) { store.era }
        private val updater = ServerListUpdater(ServerRegistry(clock), log) { }
        private val watcher = ObjectWatcher("servers/", view, clock, log, updater) { FleetIntervals(7) }
        private val peers =
            GatewayPeers(
                VmId("a"),
                Incarnation(1),
                "a:1",
                object : PeerTransport {
                    override suspend fun run(receive: suspend (PeerEnvelope) -> Unit) = Unit

                    override fun send(
                        address: String,
                        envelope: PeerEnvelope,
                    ) = Unit
                },
                Dispatchers.Unconfined,
                ConfigurationUpdater(log) { },
                updater,
                eras,
                { 500.milliseconds },
                clock,
            )

        /** The servers in use, and whether they are leaving. */
        val servers: Map<String, Boolean> get() = updater.registered.associate { it.id.value to it.leaving }

        init {
            eras.addListener { watcher.storeRestored() }
            scope.backgroundScope.launch { watcher.run() }
            scope.backgroundScope.launch { updater.expireMissing() }
        }

        suspend fun write(
            id: String,
            state: String = "ready",
            startedAtMs: Long = 1,
        ) {
            val version = store.get("servers/$id").getOrNull()?.version
            val condition = version?.let(PutCondition::Version) ?: PutCondition.Absent
            store.put("servers/$id", entry(state, startedAtMs), condition)
        }

        suspend fun remove(id: String) {
            store.get("servers/$id").getOrNull()?.let { store.delete("servers/$id", it.version) }
        }

        suspend fun settle() = delay(1.seconds)

        fun copy() = store.copy()

        /** Other objects change, so that the revision rises. */
        suspend fun changeOthers(count: Int) = repeat(count) { store.put("others/$it", "{}", PutCondition.Absent) }

        suspend fun restore(copy: InMemoryObjectStore.Copy) {
            network.outage = true
            delay(300.milliseconds)
            store.restore(copy)
            network.outage = false
        }

        fun hearFromPeer(
            id: String,
            version: Long,
            state: String,
            era: Long,
        ) {
            val change = ServerEntryChange("servers/$id", ObjectVersion(version), entry(state, 1))
            val message = PeerMessage.GatewayServerChanges(listOf(change), StoreEra(era))
            peers.receive(PeerEnvelope(VmId("b"), Incarnation(1), message))
        }

        private fun entry(
            state: String,
            startedAtMs: Long,
        ): String {
            val wire = ServerWire("s", "10.0.0.1:80", "a", 6, state, born = startedAtMs)
            return WireJson.encodeToString(ServerWire.serializer(), wire)
        }
    }

    private val cases =
        listOf(
            Case(
                "a server begins to leave after the restore, at a revision below the one last seen",
                {
                    write("s1")
                    write("s2")
                    settle()
                    val copy = copy()
                    changeOthers(20)
                    settle()
                    restore(copy)
                    settle()
                    write("s1", "draining")
                    settle()
                },
                mapOf("s1" to true, "s2" to false),
            ),
            Case(
                "revisions after the restore have passed the one last seen before the VM hears of it",
                {
                    write("s1")
                    settle()
                    val copy = copy()
                    write("s2")
                    settle()
                    restore(copy)
                    changeOthers(1)
                    write("s1", "draining")
                    write("s3")
                    changeOthers(20)
                    delay(4.seconds)
                },
                mapOf("s1" to true, "s3" to false),
            ),
            Case(
                "a change from before the restore arrives late from another VM",
                {
                    write("s1")
                    settle()
                    val copy = copy()
                    changeOthers(20)
                    settle()
                    restore(copy)
                    settle()
                    write("s1", "draining")
                    settle()
                    hearFromPeer("s1", version = 15, state = "ready", era = 1)
                    settle()
                },
                mapOf("s1" to true),
            ),
            Case(
                "another VM tells of a server that leaves before this VM has called the restored store",
                {
                    write("s1")
                    write("s2")
                    settle()
                    val copy = copy()
                    changeOthers(20)
                    settle()
                    restore(copy)
                    write("s1", "draining")
                    hearFromPeer("s1", version = 4, state = "draining", era = 2)
                },
                mapOf("s1" to true, "s2" to false),
            ),
            Case(
                "the copy does not know yet that a server is leaving",
                {
                    write("s1")
                    settle()
                    val copy = copy()
                    write("s1", "draining")
                    settle()
                    restore(copy)
                    settle()
                },
                mapOf("s1" to true),
            ),
            Case(
                "a leaving server has ended and another one has started under its id",
                {
                    write("s1")
                    settle()
                    val copy = copy()
                    write("s1", "draining")
                    settle()
                    restore(copy)
                    settle()
                    write("s1", startedAtMs = 2)
                    settle()
                },
                mapOf("s1" to false),
            ),
            Case(
                "a server registered after the copy was made, and registers again within the grace period",
                {
                    write("s1")
                    settle()
                    val copy = copy()
                    write("s2")
                    settle()
                    restore(copy)
                    settle()
                    assertEquals(setOf("s1", "s2"), servers.keys, "within the grace period")
                    write("s2")
                    delay(4.seconds)
                },
                mapOf("s1" to false, "s2" to false),
            ),
            Case(
                "a server registered after the copy was made, and never again",
                {
                    write("s1")
                    settle()
                    val copy = copy()
                    write("s2")
                    settle()
                    restore(copy)
                    delay(5.seconds)
                },
                mapOf("s1" to false),
            ),
        )

    @TestFactory
    fun cases(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                runTest {
                    val fixture = Fixture(this)
                    fixture.settle()
                    case.script(fixture)
                    assertEquals(case.expected, fixture.servers)
                }
            }
        }
}
