package io.tarragonport.core.membership

import io.tarragonport.api.peer.Gossip
import io.tarragonport.api.peer.MemberState
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against live VMs declared dead, dead VMs considered live, and fleets that stay partitioned. */
class MembershipTest {
    private val everyone = List(7) { "vm-$it" }

    private fun joinedFleet(
        size: Int = 7,
        seed: Int = 1,
    ): VirtualFleet {
        val fleet = VirtualFleet(size, seed)
        assertNotNull(
            fleet.timeUntil(20.seconds) { fleet.agrees(fleet.nodes.keys) },
            "$size VMs do not discover each other",
        )
        return fleet
    }

    /** True if for each of [names] exactly these VMs are live. */
    private fun VirtualFleet.agrees(names: Collection<String>) =
        names.all { nodes.getValue(it).liveNames() + it == names.toSet() }

    private fun VirtualFleet.losesLiveMember(during: kotlin.time.Duration): Boolean =
        timeUntil(during) { nodes.values.any { it.liveNames().size < nodes.size - 1 } } != null

    @Test
    fun `VMs discover each other through one seed`() = listOf(2, 7, 50).forEach { joinedFleet(it) }

    @Test
    fun `a stopped VM is removed in time and a restarted one rejoins promptly`() {
        (1..5).forEach { seed ->
            val fleet = joinedFleet(seed = seed)
            fleet.stop("vm-3")
            val removed = fleet.timeUntil(30.seconds) { fleet.agrees(everyone - "vm-3") }
            assertTrue(assertNotNull(removed) <= 15.seconds, "removed after $removed")
            fleet.start("vm-3", incarnation = 2)
            val returned = fleet.timeUntil(30.seconds) { fleet.agrees(everyone) }
            assertTrue(assertNotNull(returned) <= 5.seconds, "returned after $returned")
        }
    }

    @Test
    fun `no VM is declared dead after a path failure or with a tenth of the messages lost`() {
        val random = kotlin.random.Random(5)
        val cases: Map<String, (String, String) -> Boolean> =
            mapOf(
                "one pair" to { from, to -> setOf(from, to) == setOf("vm-1", "vm-2") },
                "one direction" to { from, to -> from == "vm-1" && to == "vm-2" },
                "a tenth" to { _, _ -> random.nextInt(10) == 0 },
            )
        cases.forEach { (name, drops) ->
            val fleet = joinedFleet()
            fleet.drops = drops
            assertTrue(!fleet.losesLiveMember(2.minutes), name)
        }
    }

    @Test
    fun `a VM frozen for long declares no VM dead and rejoins`() {
        listOf(1_500.milliseconds, 6.seconds, 60.seconds).forEach { freeze ->
            val fleet = joinedFleet()
            fleet.frozen += "vm-2"
            fleet.run(freeze)
            fleet.frozen -= "vm-2"
            val frozen = fleet.nodes.getValue("vm-2")
            val lost = fleet.timeUntil(10.seconds) { frozen.liveNames().size < 6 }
            assertNull(lost, "the VM frozen for $freeze lost other VMs after $lost")
            assertEquals(1, frozen.membership.freezes)
            assertTrue(fleet.agrees(everyone), "frozen for $freeze")
            assertTrue(!fleet.losesLiveMember(20.seconds), "frozen for $freeze")
        }
    }

    @Test
    fun `no VM becomes suspect after one path failure because of indirect probes`() {
        val fleet = joinedFleet()
        fleet.drops = { from, to -> setOf(from, to) == setOf("vm-1", "vm-2") }
        val suspected =
            fleet.timeUntil(1.minutes) {
                fleet.nodes.values.any { node -> node.membership.members.any { it.state == MemberState.SUSPECT } }
            }
        assertNull(suspected)
    }

    @Test
    fun `the time of a freeze does not count for probe and suspicion timeouts`() {
        listOf(false, true).forEach { suspectBefore ->
            val fleet = VirtualFleet(2)
            val node = fleet.nodes.getValue("vm-0")
            val other =
                fleet.nodes
                    .getValue("vm-1")
                    .membership
                    .ownUpdate()
            val alive = PeerMessage.StateAnswer(listOf(other))
            node.membership.receive(PeerEnvelope(other.id, other.incarnation, alive))
            if (suspectBefore) {
                val challenged = PeerMessage.IndirectAnswer(0, other.copy(state = MemberState.SUSPECT))
                node.membership.receive(PeerEnvelope(other.id, other.incarnation, challenged))
            }
            node.membership.tick()
            fleet.time += 30.seconds
            val sent = node.membership.tick()
            val expected = if (suspectBefore) MemberState.SUSPECT else MemberState.ALIVE
            assertEquals(expected, node.membership.member(other.id)?.state)
            assertEquals(0, sent.count { it.message is PeerMessage.IndirectProbe })
        }
    }

    @Test
    fun `a dead member that responds without refuting is not probed after each response`() {
        val fleet = VirtualFleet(2)
        val node = fleet.nodes.getValue("vm-0")
        val other =
            fleet.nodes
                .getValue("vm-1")
                .membership
                .ownUpdate()
        val dead = PeerMessage.StateAnswer(listOf(other.copy(state = MemberState.DEAD)))
        node.membership.receive(PeerEnvelope(other.id, other.incarnation, dead))
        node.membership.tick()
        val answer = PeerEnvelope(other.id, other.incarnation, PeerMessage.ProbeAnswer(0, other))
        val probes = (1..1_000).sumOf { node.membership.receive(answer).size }
        assertTrue(probes in 1..Membership.VERIFICATIONS, "$probes probes")
    }

    @Test
    fun `no VM is declared dead after a short freeze of most VMs`() {
        val fleet = joinedFleet()
        fleet.frozen += everyone.take(5)
        fleet.run(4.seconds)
        fleet.frozen.clear()
        assertTrue(!fleet.losesLiveMember(20.seconds))
    }

    @Test
    fun `both sides of a partition stay live and rejoin when it heals`() {
        (1..3).forEach { seed ->
            val fleet = joinedFleet(seed = seed)
            val oneSide = everyone.take(3)
            fleet.drops = { from, to -> (from in oneSide) != (to in oneSide) }
            fleet.run(3.minutes)
            assertTrue(fleet.agrees(oneSide) && fleet.agrees(everyone - oneSide.toSet()))
            fleet.drops = { _, _ -> false }
            val healed = fleet.timeUntil(60.seconds) { fleet.agrees(everyone) }
            assertTrue(assertNotNull(healed) <= 10.seconds, "healed after $healed")
        }
    }

    @Test
    fun `a leaving VM is removed within two seconds and stays removed although it still responds`() {
        val fleet = joinedFleet()
        val leaving = fleet.nodes.getValue("vm-4")
        fleet.send(leaving, leaving.membership.leave())
        val others = everyone - "vm-4"
        val seen = fleet.timeUntil(10.seconds) { others.all { "vm-4" !in fleet.nodes.getValue(it).liveNames() } }
        assertTrue(assertNotNull(seen) <= 2.seconds, "seen after $seen")
        fleet.run(30.seconds)
        assertTrue(others.all { "vm-4" !in fleet.nodes.getValue(it).liveNames() })
    }

    @Test
    fun `the VM list adds no unresponsive VM and removes dead VMs that are no longer listed`() {
        val fleet = joinedFleet()
        fleet.list(everyone + "vm-99")
        fleet.run(10.seconds)
        assertTrue(fleet.agrees(everyone))
        fleet.stop("vm-6")
        val others = everyone - "vm-6"
        fleet.run(20.seconds)
        val table = {
            fleet.nodes
                .getValue("vm-0")
                .membership.members
                .map { it.id.value }
        }
        assertTrue("vm-6" in table())
        fleet.list(others)
        fleet.run(59.seconds)
        assertTrue("vm-6" in table())
        fleet.run(3.seconds)
        assertTrue("vm-6" !in table())
    }

    @Test
    fun `an empty VM list removes no responsive VM`() {
        val fleet = joinedFleet()
        fleet.list(everyone)
        fleet.list(emptyList())
        fleet.run(2.minutes)
        assertTrue(fleet.agrees(everyone))
    }

    @Test
    fun `an address taken over by another VM does not keep the former one alive`() {
        val fleet = joinedFleet(2)
        val node = fleet.nodes.getValue("vm-0")
        val successor = VirtualFleet(3).nodes.getValue("vm-2")
        fleet.drops = { from, to -> from == "vm-1" || to == "vm-1" }
        repeat(200) {
            node.membership.tick().forEach { outgoing ->
                val probe = outgoing.message
                if (probe is PeerMessage.Probe) {
                    val update = successor.membership.ownUpdate().copy(state = MemberState.LEFT)
                    val answer = PeerMessage.ProbeAnswer(probe.sequence, update)
                    node.membership.receive(PeerEnvelope(update.id, update.incarnation, answer))
                }
            }
            fleet.time += Membership.TICK
        }
        assertEquals(emptySet(), node.liveNames())
    }

    @Test
    fun `messages stay within their size limit and deliver all gossip`() {
        val fleet = joinedFleet(50)
        val nodes = fleet.nodes.values.toList()
        nodes.forEach { node ->
            node.gossip.versions = List(21) { 4_000_000_000L + it }
            repeat(3) { node.gossip.reportCrash("fingerprint-of-${node.local.id}") }
        }
        val crashes = nodes.associate { "fingerprint-of-${it.local.id}" to 3 }
        val known = fleet.timeUntil(60.seconds) { nodes.all { it.gossip.crashes == crashes } }
        assertTrue(assertNotNull(known) <= 40.seconds, "known after $known")
        val probe = nodes.first().membership.tick() + nodes.first().membership.leave()
        probe.map { it.message }.filterIsInstance<PeerMessage.Probe>().forEach { message ->
            val size =
                io.tarragonport.api.peer.PeerCodec
                    .size(Gossip.serializer(), message.gossip)
            assertTrue(size <= Gossip.MAXIMUM_BYTES, "$size bytes")
        }
    }
}
