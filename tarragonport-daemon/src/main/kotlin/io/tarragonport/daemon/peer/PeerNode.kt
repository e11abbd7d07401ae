package io.tarragonport.daemon.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.peer.MemberState
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.PoolDemand
import io.tarragonport.api.platform.VmList
import io.tarragonport.core.membership.GossipState
import io.tarragonport.core.membership.LocalMember
import io.tarragonport.core.membership.Member
import io.tarragonport.core.membership.Membership
import io.tarragonport.core.membership.OutgoingMessage
import io.tarragonport.daemon.event.line
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * This VM's node of the peer network: runs membership over a transport and exchanges messages for other control loops.
 *
 * [run] and [PeerMessenger] must be used on the single-threaded control dispatcher; the flows and [PeerGossip] are safe
 * from any thread.
 */
class PeerNode(
    private val local: LocalMember,
    seeds: List<String>,
    private val vmList: VmList,
    private val transport: PeerTransport,
    private val timeSource: TimeSource,
    random: Random,
) : MembershipView,
    PeerMessenger,
    PeerGossip {
    private val gossip = GossipState(local, timeSource)
    private val membership = Membership(local, timeSource, random, gossip).also { it.addSeeds(seeds) }
    private val handlers = ArrayList<PeerMessageHandler>()
    private val inbox = Channel<PeerEnvelope>(INBOX_CAPACITY)
    private val reports = Channel<() -> Unit>(Channel.UNLIMITED)
    private val mutableLive = MutableStateFlow(listOf(ownVm()))
    private val mutableCrashes = MutableStateFlow<Map<String, Int>>(emptyMap())
    private val mutableDemand = MutableStateFlow<Map<VmId, List<PoolDemand>>>(emptyMap())
    private val mutableLeaving = MutableStateFlow<Set<BackendServerId>>(emptySet())
    private var lastMessage: TimeMark? = null
    private var freezes = 0
    private var publishedRevision = -1L
    private var ticks = 0L

    override val liveVms: StateFlow<List<LiveVm>> = mutableLive
    override val crashes: StateFlow<Map<String, Int>> = mutableCrashes
    override val demand: StateFlow<Map<VmId, List<PoolDemand>>> = mutableDemand
    override val leaving: StateFlow<Set<BackendServerId>> = mutableLeaving
    override val expectedPeers: Int get() = membership.expectedAddresses.size
    override val deadPeers: Int get() = membership.members.count { it.state == MemberState.DEAD }
    override val leftPeers: Set<VmId>
        get() = membership.members.filter { it.state == MemberState.LEFT }.mapTo(HashSet()) { it.id }

    /** Runs until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { transport.run { inbox.send(it) } }
            launch { readVmList() }
            launch { for (envelope in inbox) receive(envelope) }
            launch { for (report in reports) report() }
            tickRepeatedly()
        }

    /**
     * Announces to peers that this VM leaves and waits [LEAVE_TIME] for the announcement to be written; to be called on
     * the control dispatcher while [run] is active.
     */
    suspend fun leave() {
        log(PeerEvents.LEAVING, "${local.id}")
        membership.leave().forEach(::send)
        delay(LEAVE_TIME)
    }

    override fun sinceLastMessage(): Duration = lastMessage?.elapsedNow() ?: Duration.INFINITE

    override fun send(
        to: VmId,
        message: PeerMessage,
    ) {
        membership.member(to)?.let { send(OutgoingMessage(it.details.peerAddress, message)) }
    }

    override fun addHandler(handler: PeerMessageHandler) {
        handlers += handler
    }

    override fun announceVersions(versions: List<Long>) {
        gossip.versions = versions
    }

    override fun reportCrash(fingerprint: String) {
        reports.trySend { gossip.reportCrash(fingerprint) }
    }

    override fun reportDemand(pools: List<PoolDemand>) {
        reports.trySend { gossip.reportDemand(pools) }
    }

    override fun reportLeaving(server: BackendServerId) {
        reports.trySend { gossip.reportLeaving(server) }
    }

    private suspend fun tickRepeatedly() {
        while (true) {
            membership.tick().forEach(::send)
            ticks += 1
            publish()
            delay(Membership.TICK)
        }
    }

    private fun receive(envelope: PeerEnvelope) {
        if (envelope.from == local.id) return
        lastMessage = timeSource.markNow()
        membership.receive(envelope).forEach(::send)
        handlers.forEach { it.receive(envelope.from, envelope.message) }
        publish()
    }

    private fun send(outgoing: OutgoingMessage) =
        transport.send(outgoing.address, PeerEnvelope(local.id, local.incarnation, outgoing.message))

    private fun publish() {
        publishLive()
        mutableCrashes.value = gossip.crashes
        mutableLeaving.value = gossip.leaving
        if (ticks % TICKS_PER_DEMAND_UPDATE == 0L) mutableDemand.value = gossip.demand
        if (membership.freezes > freezes) log(PeerEvents.RESUMED, "${local.id}")
        freezes = membership.freezes
    }

    private fun publishLive() {
        if (membership.revision == publishedRevision) return
        publishedRevision = membership.revision
        val before = mutableLive.value
        val now = listOf(ownVm()) + membership.live.map(::liveVm).sortedBy { it.id.value }
        if (now != before) {
            (now - before.toSet()).forEach { log(PeerEvents.MEMBER_LIVE, "${it.id} at ${it.peerAddress}") }
            val lost = before.map { it.id } - now.mapTo(HashSet()) { it.id }
            lost.forEach { log(PeerEvents.MEMBER_LOST, "$it") }
            mutableLive.value = now
        }
    }

    private suspend fun readVmList() {
        while (true) {
            val result = withTimeoutOrNull(VM_LIST_TIMEOUT) { vmList.vms() }
            val vms = result?.getOrNull()
            if (vms == null) log(PeerEvents.VM_LIST_FAILED, "${result ?: "no reply"}") else membership.updateVmList(vms)
            val small = membership.live.size < Membership.SMALL_FLEET
            delay(if (small) SMALL_FLEET_LIST_INTERVAL else LIST_INTERVAL)
        }
    }

    private fun ownVm() = vm(local.id, local.incarnation, local.details)

    private fun liveVm(member: Member) = vm(member.id, member.incarnation, member.details)

    private fun vm(
        id: VmId,
        incarnation: Incarnation,
        details: MemberDetails,
    ) = LiveVm(id, incarnation, details.peerAddress, details.callerAddress, details.region, details.failureDomain)

    private fun log(
        event: LogEvent,
        text: String,
    ) = logger.info { event.line(text) }

    companion object {
        /**
         * Interval of reading the VM list in small fleets, where only few members can disseminate it: 1.4 reads per
         * second at 7 VMs.
         */
        val SMALL_FLEET_LIST_INTERVAL: Duration = 5.seconds

        /** Interval of reading the VM list in larger fleets: 7 reads per second at 410 VMs. */
        val LIST_INTERVAL: Duration = 60.seconds

        private val VM_LIST_TIMEOUT = 3.seconds
        private val LEAVE_TIME = 300.milliseconds
        private const val INBOX_CAPACITY = 256
        private const val TICKS_PER_DEMAND_UPDATE = 10L
    }
}
