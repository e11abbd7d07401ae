package io.tarragonport.core.membership

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberState
import io.tarragonport.api.peer.MemberUpdate
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.platform.ListedVm
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Failure detector and membership protocol of the fleet.
 *
 * The caller invokes [tick] every [TICK] and [receive] for each message, and sends the returned messages. Each period
 * one member is probed, alternately from the whole fleet and from the local region. A member that acknowledges neither
 * a direct probe nor indirect ones becomes suspect, and dead if it does not refute. Lost members and addresses of the
 * VM list that never responded are contacted at a low rate, which rejoins the sides of a healed partition.
 */
class Membership(
    private val self: LocalMember,
    private val timeSource: TimeSource,
    private val random: Random,
    private val gossip: GossipState = GossipState(self, timeSource),
) {
    private val table = MemberTable(timeSource)
    private val pendingProbes = HashMap<Long, PendingProbe>()
    private val relays = HashMap<Long, Relay>()
    private val fleetOrder = ProbeOrder(random)
    private val regionOrder = ProbeOrder(random)
    private val listing = VmListing(timeSource)
    private var refutation = 0
    private var state = MemberState.ALIVE
    private var sequence = 0L
    private var probeRounds = 0L
    private var lastTick: TimeMark = timeSource.markNow()
    private var lastProbe: TimeMark? = null
    private var lastContact: TimeMark? = null
    private var lastSync: TimeMark? = null
    private var ticks = 0L
    private var firstStateApplied = false

    // Probes since the last tick that verify a dead member reported alive. They are limited, because a member that
    // never refutes would otherwise be probed after each message.
    private var verifications = 0

    /** Incremented with every change of [live]. */
    val revision: Long get() = table.revision

    /** Other VMs that count as live. */
    val live: List<Member> get() = table.live

    /** Every other VM in the table, including lost ones. */
    val members: Collection<Member> get() = table.all

    /** Number of detected freezes of this process. */
    var freezes = 0
        private set

    /** Addresses of other VMs expected to exist: members that have not left, seeds and the VM list. */
    val expectedAddresses: Set<String>
        get() {
            val members = table.all.filter { it.state != MemberState.LEFT }.map { it.details.peerAddress }
            return (members + listing.addresses - self.details.peerAddress).toSet()
        }

    /** The update about this VM that is sent to others. */
    fun ownUpdate(): MemberUpdate = MemberUpdate(self.id, self.incarnation, refutation, state, self.details)

    fun member(id: VmId): Member? = table[id]

    /** Adds addresses to contact that need not be in the VM list. */
    fun addSeeds(addresses: Collection<String>) = listing.addSeeds(addresses)

    /** Applies a VM list returned by the platform. */
    fun updateVmList(vms: List<ListedVm>) {
        listing.update(vms)
        table.removeLost(listing.unlisted())
    }

    /** Handles timeouts and returns the probes that are due. */
    fun tick(): List<OutgoingMessage> {
        val outgoing = ArrayList<OutgoingMessage>()
        if (lastTick.elapsedNow() > TICK + FREEZE_THRESHOLD) handleFreeze()
        lastTick = timeSource.markNow()
        ticks += 1
        verifications = 0
        outgoing += handleTimeouts()
        table.expireSuspects(SUSPICION_TIMEOUT).forEach { gossip.enqueueUpdate(it.update()) }
        if (isDue(lastProbe, probeInterval())) {
            lastProbe = timeSource.markNow()
            outgoing += probeNext()
        }
        if (isDue(lastContact, CONTACT_INTERVAL)) {
            lastContact = timeSource.markNow()
            outgoing += contactLost()
        }
        if (ticks % EXPIRY_TICKS == 0L) {
            table.removeLost(listing.unlisted())
            gossip.expire(table.live.mapTo(HashSet()) { it.id })
        }
        return outgoing
    }

    /** Handles one message and returns the replies; messages of other protocols are ignored. */
    fun receive(envelope: PeerEnvelope): List<OutgoingMessage> =
        when (val message = envelope.message) {
            is PeerMessage.Probe -> {
                val joined = applyUpdates(listOf(message.sender) + message.gossip.members)
                gossip.merge(message.gossip)
                val acknowledgement = PeerMessage.ProbeAnswer(message.sequence, ownUpdate(), compose(message.sender.id))
                joined + listOfNotNull(message.sender.details?.let { OutgoingMessage(it.peerAddress, acknowledgement) })
            }
            is PeerMessage.ProbeAnswer -> {
                acknowledged(message.sequence, message.sender)
                gossip.merge(message.gossip)
                applyUpdates(listOf(message.sender) + message.gossip.members) + relay(message)
            }
            is PeerMessage.IndirectProbe -> probeFor(envelope.from, message)
            is PeerMessage.IndirectAnswer -> {
                acknowledged(message.sequence, message.target)
                applyUpdates(listOf(message.target))
            }
            is PeerMessage.StateRequest -> {
                val joined = applyUpdates(listOf(message.sender))
                joined + listOfNotNull(message.sender.details?.let { OutgoingMessage(it.peerAddress, stateAnswer()) })
            }
            is PeerMessage.StateAnswer -> applyState(message.members)
            is PeerMessage.SectionRequest, is PeerMessage.SectionAnswer, is PeerMessage.LimitReport,
            is PeerMessage.LimitShare, is PeerMessage.IntentCommit, is PeerMessage.IntentCommitted,
            is PeerMessage.CrashAnnouncement, is PeerMessage.CrashAcknowledgement,
            is PeerMessage.GatewayState, is PeerMessage.GatewaySnapshotRequest, is PeerMessage.GatewaySnapshot,
            is PeerMessage.GatewayServerChanges, is PeerMessage.GatewayCrashes,
            is PeerMessage.VmLoadReport, is PeerMessage.AggregateLoad,
            is PeerMessage.ServerLoadUpdate, is PeerMessage.ServerLoadRequest, is PeerMessage.ServerLoadAnswer,
            -> emptyList()
        }

    /** Marks this VM as having left and returns the messages that announce it. */
    fun leave(): List<OutgoingMessage> {
        state = MemberState.LEFT
        return table.live
            .shuffled(random)
            .take(LEAVE_FANOUT)
            .map { probe(it, nextSequence()) }
    }

    /** Completes a probe, unless the acknowledgement is from another VM that has taken over the address. */
    private fun acknowledged(
        sequence: Long,
        sender: MemberUpdate,
    ) {
        if (pendingProbes[sequence]?.target?.id == sender.id) pendingProbes.remove(sequence)
    }

    private fun handleFreeze() {
        freezes += 1
        pendingProbes.clear()
        relays.clear()
        table.restartSuspicions()
        // Acknowledgements may still be in the socket buffers. Delaying the next probe gives time to read them, so that
        // no member is suspected because of the freeze.
        lastProbe = timeSource.markNow()
    }

    private fun probeInterval(): Duration =
        if (table.live.size < SMALL_FLEET) SMALL_FLEET_PROBE_INTERVAL else PROBE_INTERVAL

    private fun handleTimeouts(): List<OutgoingMessage> {
        relays.values.removeIf { it.startedAt.elapsedNow() >= ACKNOWLEDGEMENT_TIMEOUT }
        val overdue = pendingProbes.filterValues { it.startedAt.elapsedNow() >= ACKNOWLEDGEMENT_TIMEOUT }
        overdue.forEach { (sequence, probe) ->
            pendingProbes.remove(sequence)
            suspect(probe)
        }
        return pendingProbes
            .filterValues { !it.probedIndirectly && it.startedAt.elapsedNow() >= DIRECT_TIMEOUT }
            .flatMap { (sequence, probe) -> probeIndirectly(sequence, probe) }
    }

    private fun probeIndirectly(
        sequence: Long,
        probe: PendingProbe,
    ): List<OutgoingMessage> {
        probe.probedIndirectly = true
        val helpers = table.live.filter { it.id != probe.target.id && it.state == MemberState.ALIVE }
        val request = PeerMessage.IndirectProbe(sequence, probe.target.id, probe.target.details.peerAddress)
        return helpers.shuffled(random).take(INDIRECT_PROBES).map { OutgoingMessage(it.details.peerAddress, request) }
    }

    private fun suspect(probe: PendingProbe) {
        val member = table[probe.target.id] ?: return
        val unchanged =
            member.incarnation == probe.target.incarnation && member.refutation == probe.target.refutation
        if (unchanged && member.state == MemberState.ALIVE) {
            val update = MemberUpdate(member.id, member.incarnation, member.refutation, MemberState.SUSPECT)
            table.apply(update)?.let { gossip.enqueueUpdate(it.update()) }
        }
    }

    private fun probeNext(): List<OutgoingMessage> {
        probeRounds += 1
        val live = table.live
        val regional = live.filter { it.details.region == self.details.region }
        val target =
            if (probeRounds % 2 == 0L && regional.isNotEmpty()) regionOrder.next(regional) else fleetOrder.next(live)
        if (target == null) return emptyList()
        val sequence = nextSequence()
        pendingProbes[sequence] = PendingProbe(target, timeSource.markNow())
        return listOf(probe(target, sequence))
    }

    /** Contacts a random expected address that belongs to no live member, and requests a full state if one is due. */
    private fun contactLost(): List<OutgoingMessage> {
        val live = table.live.mapTo(HashSet()) { it.details.peerAddress }
        val address = (expectedAddresses - live).randomOrNull(random)
        val member = table.all.find { it.details.peerAddress == address && it.state != MemberState.LEFT }
        val contact =
            when {
                address == null -> null
                member != null -> probe(member, nextSequence())
                else -> OutgoingMessage(address, PeerMessage.StateRequest(ownUpdate()))
            }
        return listOfNotNull(contact) + synchronise()
    }

    /** Requests the full state of a random live member periodically, which makes up for lost gossip. */
    private fun synchronise(): List<OutgoingMessage> {
        if (!isDue(lastSync, SYNC_INTERVAL)) return emptyList()
        val partner = table.live.filter { it.state == MemberState.ALIVE }.randomOrNull(random) ?: return emptyList()
        lastSync = timeSource.markNow()
        return listOf(OutgoingMessage(partner.details.peerAddress, PeerMessage.StateRequest(ownUpdate())))
    }

    private fun probeFor(
        requester: VmId,
        request: PeerMessage.IndirectProbe,
    ): List<OutgoingMessage> {
        val origin = table[requester] ?: return emptyList()
        val probeSequence = nextSequence()
        relays[probeSequence] = Relay(origin.details.peerAddress, request.sequence, timeSource.markNow())
        return listOf(
            OutgoingMessage(request.address, PeerMessage.Probe(probeSequence, ownUpdate(), compose(request.target))),
        )
    }

    private fun relay(answer: PeerMessage.ProbeAnswer): List<OutgoingMessage> {
        val relay = relays.remove(answer.sequence) ?: return emptyList()
        return listOf(OutgoingMessage(relay.address, PeerMessage.IndirectAnswer(relay.sequence, answer.sender)))
    }

    /**
     * Applies [updates], and probes members that a peer reports as alive although they are dead here. Such a probe
     * contains their state, so that the target can refute it.
     */
    private fun applyUpdates(updates: List<MemberUpdate>): List<OutgoingMessage> {
        updates.forEach(::applyUpdate)
        val contradicted = updates.mapNotNull { update -> table[update.id]?.takeIf { contradicts(it, update) } }
        val allowed = (VERIFICATIONS - verifications).coerceAtLeast(0)
        val verified = contradicted.shuffled(random).take(allowed)
        verifications += verified.size
        return verified.map { probe(it, nextSequence()) }
    }

    /** Applies a full state. The first one is not disseminated, because the other members already have it. */
    private fun applyState(members: List<MemberUpdate>): List<OutgoingMessage> {
        if (firstStateApplied) return applyUpdates(members)
        firstStateApplied = true
        members.filter { it.id != self.id }.forEach(table::apply)
        members.filter { it.id == self.id }.forEach(::refute)
        return emptyList()
    }

    private fun applyUpdate(update: MemberUpdate) {
        if (update.id == self.id) {
            refute(update)
            return
        }
        val lost = table[update.id]?.state == MemberState.DEAD
        val changed = table.apply(update) ?: return
        gossip.enqueueUpdate(changed.update())
        if (lost && changed.live && isDue(lastSync, HEALING_SYNC_INTERVAL)) lastSync = null
    }

    /** True if a peer reports as alive a member that is dead here, as after a partition. */
    private fun contradicts(
        known: Member,
        update: MemberUpdate,
    ): Boolean =
        known.state == MemberState.DEAD && update.state == MemberState.ALIVE && update.incarnation == known.incarnation

    private fun refute(update: MemberUpdate) {
        val challenged = update.state != MemberState.ALIVE && state == MemberState.ALIVE
        if (challenged && update.incarnation == self.incarnation && update.refutation >= refutation) {
            refutation = update.refutation + 1
        }
    }

    private fun stateAnswer(): PeerMessage =
        PeerMessage.StateAnswer(
            table.all.map { it.update().copy(details = it.details) } + ownUpdate(),
            gossip.versions,
        )

    private fun probe(
        target: Member,
        sequence: Long,
    ): OutgoingMessage {
        val message = PeerMessage.Probe(sequence, ownUpdate(), compose(target.id))
        return OutgoingMessage(target.details.peerAddress, message)
    }

    private fun compose(target: VmId) =
        gossip.compose(
            target,
            table[target]?.takeIf { it.state != MemberState.ALIVE }?.update(),
            table.live.size + 1,
        ) { origin -> region(origin) == region(target) }

    private fun region(vm: VmId) = if (vm == self.id) self.details.region else table[vm]?.details?.region

    private fun nextSequence(): Long {
        sequence += 1
        return sequence
    }

    private fun isDue(
        last: TimeMark?,
        interval: Duration,
    ): Boolean = last == null || last.elapsedNow() >= interval

    private class PendingProbe(
        val target: Member,
        val startedAt: TimeMark,
    ) {
        var probedIndirectly = false
    }

    private class Relay(
        val address: String,
        val sequence: Long,
        val startedAt: TimeMark,
    )

    companion object {
        /** Interval at which [tick] must be called. */
        val TICK: Duration = 100.milliseconds

        /** A tick delayed by more than this indicates that the process was frozen or starved. */
        val FREEZE_THRESHOLD: Duration = 1.seconds

        /** One probe per second and its acknowledgement stay below 3 KB/s at any fleet size. */
        val PROBE_INTERVAL: Duration = 1.seconds

        /** About three probes per second while the fleet is small. */
        val SMALL_FLEET_PROBE_INTERVAL: Duration = 300.milliseconds

        /** Number of other live VMs from which [PROBE_INTERVAL] applies. */
        const val SMALL_FLEET = 16

        /** Timeout of a direct probe, after which indirect probes are requested. */
        val DIRECT_TIMEOUT: Duration = 500.milliseconds

        /** Time without any acknowledgement after which a member becomes suspect. */
        val ACKNOWLEDGEMENT_TIMEOUT: Duration = 2.seconds

        /** Time within which a suspect member can refute. */
        val SUSPICION_TIMEOUT: Duration = 5.seconds

        /** Interval of attempts to contact lost or unknown VMs. */
        val CONTACT_INTERVAL: Duration = 1.seconds

        /** Interval of full state exchanges. One takes 37 KB at 410 VMs, which is 310 bytes per second. */
        val SYNC_INTERVAL: Duration = 120.seconds

        /** Interval of full state exchanges while lost members return. */
        val HEALING_SYNC_INTERVAL: Duration = 5.seconds

        /** Dead members probed per tick because a peer reports them alive; limits the burst after a partition. */
        const val VERIFICATIONS = 8

        /** Number of members that are asked for an indirect probe. */
        const val INDIRECT_PROBES = 2

        /** Number of members notified directly when this VM leaves; they disseminate it. */
        const val LEAVE_FANOUT = 10

        private const val EXPIRY_TICKS = 10L
    }
}
