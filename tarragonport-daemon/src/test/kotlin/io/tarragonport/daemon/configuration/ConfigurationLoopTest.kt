package io.tarragonport.daemon.configuration

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.configuration.SectionCodec
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.peer.PeerMessenger
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against changes that are missed, late or reverted, and against serving without a configuration. */
class ConfigurationLoopTest {
    private val store = FakeObjectStore()

    private val region = RegionId("lima")

    private class StubMessenger(
        override val expectedPeers: Int,
        var silence: Duration,
    ) : PeerMessenger by PeerMessenger.None {
        override fun sinceLastMessage(): Duration = silence
    }

    private fun vm(name: String) =
        LiveVm(VmId(name), Incarnation(1), "$name:1", "$name:2", region, FailureDomainId("lima-1"))

    private fun fleet(vararg names: String): MembershipView =
        object : MembershipView {
            override val liveVms = MutableStateFlow(names.map(::vm))
        }

    private fun fill(document: ConfigurationDocument) =
        SectionCodec.split(document).forEach { (section, text) -> store.set(section.objectName, text) }

    private fun organisations(vararg names: String) =
        ConfigurationDocument(organisations = names.map { Organisation(OrganisationId(it)) })

    private fun TestScope.start(
        messenger: PeerMessenger = PeerMessenger.None,
        view: MembershipView = fleet("vm-1"),
        name: String = "vm-1",
    ): ConfigurationLoop {
        val loop = ConfigurationLoop(store, VmId(name), region, view, testTimeSource, messenger)
        backgroundScope.launch { loop.run() }
        return loop
    }

    private fun names(loop: ConfigurationLoop) =
        loop.current.value
            ?.document
            ?.organisations
            ?.map { it.id.value }

    private fun rename(name: String) = store.set(SectionName.ORGANISATIONS.objectName, """[{"id":"$name"}]""")

    @Test
    fun `an empty store yields an empty configuration, an unavailable one yields none`() =
        runTest {
            store.down = true
            val loop = start()
            delay(5.seconds)
            assertNull(loop.current.value)
            store.down = false
            delay(2.seconds)
            assertEquals(ConfigurationDocument(), loop.current.value?.document)
        }

    @Test
    fun `a change takes effect within its time limit however the watch fails`() =
        runTest {
            val old = ObjectEntry(SectionName.ORGANISATIONS.objectName, ObjectVersion(1), """[{"id":"old"}]""")
            val cases: List<Pair<Duration, () -> Unit>> =
                listOf(
                    100.milliseconds to {},
                    6.seconds to { store.watchStuck = true },
                    6.seconds to { store.watchReports = listOf(old) },
                    6.seconds to { store.watchReports = emptyList() },
                )
            fill(organisations("first"))
            val loop = start()
            delay(3.seconds)
            cases.forEachIndexed { index, (bound, fault) ->
                store.watchStuck = false
                store.watchReports = null
                fault()
                delay(12.seconds)
                rename("name-$index")
                delay(bound)
                assertEquals(listOf("name-$index"), names(loop), "case $index")
            }
        }

    @Test
    fun `a watch that returns at once does not exhaust the call budget`() =
        runTest {
            store.watchReports = emptyList()
            start()
            delay(60.seconds)
            assertTrue(store.watches <= 61, "${store.watches} watches in a minute")
        }

    @Test
    fun `two of the VMs of a region watch`() =
        runTest {
            val names = Array(5) { "vm-$it" }
            names.forEach { start(view = fleet(*names), name = it) }
            delay(3.seconds)
            assertEquals(2, store.watches)
        }

    @Test
    fun `the loop recovers after hanging calls`() =
        runTest {
            fill(organisations("first"))
            val loop = start()
            delay(3.seconds)
            store.hangs = true
            delay(30.seconds)
            store.hangs = false
            rename("second")
            delay(9.seconds)
            assertEquals(listOf("second"), names(loop))
        }

    @Test
    fun `a deleted section becomes empty and can be created again`() =
        runTest {
            fill(organisations("first"))
            val loop = start()
            delay(3.seconds)
            store.remove(SectionName.ORGANISATIONS.objectName)
            delay(6.seconds)
            assertEquals(emptyList(), names(loop))
            rename("again")
            delay(6.seconds)
            assertEquals(listOf("again"), names(loop))
        }

    @Test
    fun `a VM is isolated only if neither the platform nor a peer responds`() =
        runTest {
            data class Case(
                val peers: Int,
                val silence: Duration,
                val down: Boolean,
                val isolated: Boolean,
            )
            listOf(
                Case(peers = 2, silence = 1.seconds, down = true, isolated = false),
                Case(peers = 2, silence = 60.seconds, down = false, isolated = false),
                Case(peers = 0, silence = Duration.INFINITE, down = true, isolated = false),
                Case(peers = 2, silence = 60.seconds, down = true, isolated = true),
            ).forEach { case ->
                store.down = false
                val messenger = StubMessenger(case.peers, case.silence)
                val loop = start(messenger)
                delay(2.seconds)
                assertNotNull(loop.current.value)
                store.down = case.down
                delay(16.seconds)
                assertEquals(case.isolated, loop.isolated.value, "$case")
                messenger.silence = Duration.ZERO
                delay(1.seconds)
                assertEquals(false, loop.isolated.value, "$case after a message")
            }
        }
}
