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
 * Decides whom to probe and what to believe of the other VMs.
 *
 * The owner calls [tick] every [TICK] and [receive] for each message, and sends what they return. Each period one
 * member is probed, in turn from the whole fleet and from the own region. A member that answers neither directly nor
 * through two others becomes suspect, and dead if it does not refute. Lost members and addresses of the VM list that
 * never answered are tried at a low rate, which joins the sides of a healed partition.
 */
class Membership(
    private val self: LocalMember,
    private val timeSource: TimeSource,
    private val random: Random,
    private val gossip: GossipState = GossipState(self, timeSource),
) {
    private val table = MemberTable(timeSource)
    private val pending = HashMap<Long, PendingProbe>()
    private val relays = HashMap<Long, Relay>()
    private val fleetOrder = ProbeOrder(random)
    private val regionOrder = ProbeOrder(random)
    private val listing = VmListing(timeSource)
    private var refutation = 0
    private var state = MemberState.ALIVE
    private var sequence = 0L
    private var rounds = 0L
    private var lastTick: TimeMark = timeSource.markNow()
    private var lastProbe: TimeMark? = null
    private var lastSearch: TimeMark? = null
    private var lastSync: TimeMark? = null
    private var ticks = 0L
    private var synchronised = false

    // Verifications since the last tick; without a bound a peer that does not refute would be probed again by its answer.
    private var verifications = 0

    /** Grows with every change of [live]. */
    val revision: Long get() = table.revision

    /** Other VMs believed live. */
    val live: List<Member> get() = table.live

    /** Every other VM in the table, also lost ones. */
    val members: Collection<Member> get() = table.all

    /** Number of resumptions from a freeze. */
    var freezes = 0
        private set

    /** Other VMs that are expected to exist: members that did not leave, and addresses of seeds and VM list. */
    val expectedAddresses: Set<String>
        get() {
            val members = table.all.filter { it.state != MemberState.LEFT }.map { it.details.peerAddress }
            return (members + listing.addresses - self.details.peerAddress).toSet()
        }

    /** What others are told about this VM. */
    fun ownUpdate(): MemberUpdate = MemberUpdate(self.id, self.incarnation, refutation, state, self.details)

    fun member(id: VmId): Member? = table[id]

    /** Adds addresses to try although no VM list names them. */
    fun addSeeds(addresses: Collection<String>) = listing.addSeeds(addresses)

    /** Takes a VM list that the platform returned. */
    fun listed(vms: List<ListedVm>) {
        listing.update(vms)
        table.forget(listing.gone())
    }

    /** Handles timeouts and starts the probes that are due. */
    fun tick(): List<OutgoingMessage> {
        val outgoing = ArrayList<OutgoingMessage>()
        if (lastTick.elapsedNow() > TICK + LATE_LIMIT) resume()
        lastTick = timeSource.markNow()
        ticks += 1
        verifications = 0
        outgoing += handleTimeouts()
        table.buryOverdue(SUSPICION).forEach { gossip.memberChanged(it.update()) }
        if (isDue(lastProbe, probeInterval())) {
            lastProbe = timeSource.markNow()
            outgoing += probeNext()
        }
        if (isDue(lastSearch, SEARCH_INTERVAL)) {
            lastSearch = timeSource.markNow()
            outgoing += search()
        }
        if (ticks % EXPIRY_TICKS == 0L) {
            table.forget(listing.gone())
            gossip.expire(table.live.mapTo(HashSet()) { it.id })
        }
        return outgoing
    }

    /** Handles one message; messages of other mechanisms are ignored. */
    fun receive(envelope: PeerEnvelope): List<OutgoingMessage> =
        when (val message = envelope.message) {
            is PeerMessage.Probe -> {
                val joined = learnAll(listOf(message.sender) + message.gossip.members)
                gossip.absorb(message.gossip)
                val answer = PeerMessage.ProbeAnswer(message.sequence, ownUpdate(), compose(message.sender.id))
                joined + listOfNotNull(message.sender.details?.let { OutgoingMessage(it.peerAddress, answer) })
            }
            is PeerMessage.ProbeAnswer -> {
                answered(message.sequence, message.sender)
                gossip.absorb(message.gossip)
                learnAll(listOf(message.sender) + message.gossip.members) + relay(message)
            }
            is PeerMessage.IndirectProbe -> probeFor(envelope.from, message)
            is PeerMessage.IndirectAnswer -> {
                answered(message.sequence, message.target)
                learnAll(listOf(message.target))
            }
            is PeerMessage.StateRequest -> {
                val joined = learnAll(listOf(message.sender))
                joined + listOfNotNull(message.sender.details?.let { OutgoingMessage(it.peerAddress, stateAnswer()) })
            }
            is PeerMessage.StateAnswer -> learnState(message.members)
            is PeerMessage.SectionRequest, is PeerMessage.SectionAnswer, is PeerMessage.LimitReport,
            is PeerMessage.LimitShare, is PeerMessage.IntentCommit, is PeerMessage.IntentCommitted,
            is PeerMessage.CrashAnnouncement, is PeerMessage.CrashAcknowledgement,
            is PeerMessage.GatewayState, is PeerMessage.GatewaySnapshotRequest, is PeerMessage.GatewaySnapshot,
            is PeerMessage.VmLoadReport, is PeerMessage.AggregateLoad,
            -> emptyList()
        }

    /** Announces that this VM leaves. */
    fun leave(): List<OutgoingMessage> {
        state = MemberState.LEFT
        return table.live
            .shuffled(random)
            .take(LEAVE_MESSAGES)
            .map { probe(it, nextSequence()) }
    }

    /** An address can have passed to another VM, whose answer does not count. */
    private fun answered(
        sequence: Long,
        sender: MemberUpdate,
    ) {
        if (pending[sequence]?.target?.id == sender.id) pending.remove(sequence)
    }

    private fun resume() {
        freezes += 1
        pending.clear()
        relays.clear()
        table.restartSuspicions()
        // The answers of others may still be in the sockets; nothing is suspected before they had time to be read.
        lastProbe = timeSource.markNow()
    }

    private fun probeInterval(): Duration =
        if (table.live.size < SMALL_FLEET) SMALL_FLEET_PROBE_INTERVAL else PROBE_INTERVAL

    private fun handleTimeouts(): List<OutgoingMessage> {
        relays.values.removeIf { it.since.elapsedNow() >= ANSWER_TIMEOUT }
        val overdue = pending.filterValues { it.since.elapsedNow() >= ANSWER_TIMEOUT }
        overdue.forEach { (sequence, probe) ->
            pending.remove(sequence)
            suspect(probe)
        }
        return pending
            .filterValues { !it.relayed && it.since.elapsedNow() >= DIRECT_TIMEOUT }
            .flatMap { (sequence, probe) -> askOthers(sequence, probe) }
    }

    private fun askOthers(
        sequence: Long,
        probe: PendingProbe,
    ): List<OutgoingMessage> {
        probe.relayed = true
        val helpers = table.live.filter { it.id != probe.target.id && it.state == MemberState.ALIVE }
        val request = PeerMessage.IndirectProbe(sequence, probe.target.id, probe.target.details.peerAddress)
        return helpers.shuffled(random).take(HELPERS).map { OutgoingMessage(it.details.peerAddress, request) }
    }

    private fun suspect(probe: PendingProbe) {
        val member = table[probe.target.id] ?: return
        val unchanged =
            member.incarnation == probe.target.incarnation && member.refutation == probe.target.refutation
        if (unchanged && member.state == MemberState.ALIVE) {
            val update = MemberUpdate(member.id, member.incarnation, member.refutation, MemberState.SUSPECT)
            table.apply(update)?.let { gossip.memberChanged(it.update()) }
        }
    }

    private fun probeNext(): List<OutgoingMessage> {
        rounds += 1
        val live = table.live
        val neighbours = live.filter { it.details.region == self.details.region }
        val target =
            if (rounds % 2 == 0L && neighbours.isNotEmpty()) regionOrder.next(neighbours) else fleetOrder.next(live)
        if (target == null) return emptyList()
        val sequence = nextSequence()
        pending[sequence] = PendingProbe(target, timeSource.markNow())
        return listOf(probe(target, sequence))
    }

    /** Tries an address from which nothing was heard; a VM without any live peer asks for the whole state. */
    private fun search(): List<OutgoingMessage> {
        val live = table.live.mapTo(HashSet()) { it.details.peerAddress }
        val address = (expectedAddresses - live).randomOrNull(random)
        val member = table.all.find { it.details.peerAddress == address && it.state != MemberState.LEFT }
        val tried =
            when {
                address == null -> null
                member != null -> probe(member, nextSequence())
                else -> OutgoingMessage(address, PeerMessage.StateRequest(ownUpdate()))
            }
        return listOfNotNull(tried) + synchronise()
    }

    /** Asks a live member for its whole state now and then, which repairs news that was lost. */
    private fun synchronise(): List<OutgoingMessage> {
        if (!isDue(lastSync, SYNC_INTERVAL)) return emptyList()
        val partner = table.live.filter { it.state == MemberState.ALIVE }.randomOrNull(random) ?: return emptyList()
        lastSync = timeSource.markNow()
        return listOf(OutgoingMessage(partner.details.peerAddress, PeerMessage.StateRequest(ownUpdate())))
    }

    private fun probeFor(
        asker: VmId,
        request: PeerMessage.IndirectProbe,
    ): List<OutgoingMessage> {
        val origin = table[asker] ?: return emptyList()
        val own = nextSequence()
        relays[own] = Relay(origin.details.peerAddress, request.sequence, timeSource.markNow())
        return listOf(OutgoingMessage(request.address, PeerMessage.Probe(own, ownUpdate(), compose(request.target))))
    }

    private fun relay(answer: PeerMessage.ProbeAnswer): List<OutgoingMessage> {
        val relay = relays.remove(answer.sequence) ?: return emptyList()
        return listOf(OutgoingMessage(relay.address, PeerMessage.IndirectAnswer(relay.sequence, answer.sender)))
    }

    /**
     * Takes [updates] over, and probes members that a peer believes alive although they are lost here. Such a probe
     * tells its target that it is believed dead, so that it can refute.
     */
    private fun learnAll(updates: List<MemberUpdate>): List<OutgoingMessage> {
        updates.forEach(::learn)
        val contradicted = updates.mapNotNull { update -> table[update.id]?.takeIf { contradicts(it, update) } }
        val allowed = (VERIFICATIONS - verifications).coerceAtLeast(0)
        val verified = contradicted.shuffled(random).take(allowed)
        verifications += verified.size
        return verified.map { probe(it, nextSequence()) }
    }

    /** Takes a whole state over. The first one is no news to others, so it is not disseminated. */
    private fun learnState(members: List<MemberUpdate>): List<OutgoingMessage> {
        if (synchronised) return learnAll(members)
        synchronised = true
        members.filter { it.id != self.id }.forEach(table::apply)
        members.filter { it.id == self.id }.forEach(::refute)
        return emptyList()
    }

    private fun learn(update: MemberUpdate) {
        if (update.id == self.id) {
            refute(update)
            return
        }
        val lost = table[update.id]?.state == MemberState.DEAD
        val changed = table.apply(update) ?: return
        gossip.memberChanged(changed.update())
        if (lost && changed.live && isDue(lastSync, HEALING_SYNC_INTERVAL)) lastSync = null
    }

    /** True if a peer believes that a member lost here is alive, as after a partition. */
    private fun contradicts(
        known: Member,
        update: MemberUpdate,
    ): Boolean =
        known.state == MemberState.DEAD && update.state == MemberState.ALIVE && update.incarnation == known.incarnation

    private fun refute(update: MemberUpdate) {
        val accused = update.state != MemberState.ALIVE && state == MemberState.ALIVE
        if (accused && update.incarnation == self.incarnation && update.refutation >= refutation) {
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
        val since: TimeMark,
    ) {
        var relayed = false
    }

    private class Relay(
        val address: String,
        val sequence: Long,
        val since: TimeMark,
    )

    companion object {
        /** Interval at which the owner calls [tick]. */
        val TICK: Duration = 100.milliseconds

        /** A tick later than this means that the process was frozen or starved. */
        val LATE_LIMIT: Duration = 1.seconds

        /** One probe a second and its answer stay below 3 KB/s at any fleet size. */
        val PROBE_INTERVAL: Duration = 1.seconds

        /** Three probes a second while the fleet is small. */
        val SMALL_FLEET_PROBE_INTERVAL: Duration = 300.milliseconds

        /** Number of other live VMs from which [PROBE_INTERVAL] applies. */
        const val SMALL_FLEET = 16

        /** Time without an answer after which others are asked to probe. */
        val DIRECT_TIMEOUT: Duration = 500.milliseconds

        /** Time without any answer after which a member is suspect. */
        val ANSWER_TIMEOUT: Duration = 2.seconds

        /** Time that a suspect has to refute. */
        val SUSPICION: Duration = 5.seconds

        /** Interval of attempts to reach lost or unknown VMs. */
        val SEARCH_INTERVAL: Duration = 1.seconds

        /** Interval of whole-state exchanges; 37 KB at 410 VMs, which is 310 bytes a second. */
        val SYNC_INTERVAL: Duration = 120.seconds

        /** Interval of whole-state exchanges while lost members come back. */
        val HEALING_SYNC_INTERVAL: Duration = 5.seconds

        /** Lost members probed in one tick because a peer believes them alive; bounds the burst after a partition. */
        const val VERIFICATIONS = 8

        /** Members asked to probe on this VM's behalf. */
        const val HELPERS = 2

        /** Members told directly that this VM leaves; they disseminate it. */
        const val LEAVE_MESSAGES = 10

        private const val EXPIRY_TICKS = 10L
    }
}
