package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.peer.MemberUpdate
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.PoolDemand
import io.tarragonport.core.membership.GossipState
import io.tarragonport.core.membership.LocalMember
import io.tarragonport.core.membership.Membership
import io.tarragonport.core.membership.OutgoingMessage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Simulates the membership of a fleet on one thread in virtual time, with encoded messages. */
class SimulatedFleet(
    private val size: Int,
    seed: Int,
) {
    private val time = TestTimeSource()
    private val random = Random(seed)
    private val nodes = HashMap<String, Node>()
    private val addresses = List(size) { "10.20.${it / 200}.${it % 200}:7400" }
    private val deliveries = HashMap<Long, ArrayList<Delivery>>()
    private var step = 0L

    /** Total size of all frames sent, in bytes. */
    var sentBytes = 0L

    /** Number of frames sent. */
    var sentFrames = 0L

    /** Size of the largest probe or probe response sent, in bytes. */
    var largestProbe = 0

    private class Node(
        val local: LocalMember,
        val gossip: GossipState,
        val membership: Membership,
    )

    private class Delivery(
        val address: String,
        val bytes: ByteArray,
    )

    init {
        val updates = addresses.indices.map { start(it, FIRST_INCARNATION).membership.ownUpdate() }
        nodes.values.forEach { it.membership.receive(envelope(it, PeerMessage.StateAnswer(updates))) }
    }

    /** Number of live members in the table of the first VM. */
    val liveMembers: Int get() =
        nodes
            .getValue(addresses.first())
            .membership.live.size

    /** Restarts a random VM with a new incarnation. */
    fun restartOne() {
        val index = random.nextInt(size)
        start(index, FIRST_INCARNATION + step).membership.addSeeds(addresses.shuffled(random).take(SEEDS))
    }

    /** Reports a random demand for each of [POOLS] pools and each tier on every VM. */
    fun reportDemand() =
        nodes.values.forEach { node ->
            val demand =
                List(POOLS * Tier.LOWEST.value) { demand(it) }
            node.gossip.reportDemand(demand)
        }

    private fun demand(index: Int): PoolDemand {
        val tiers = Tier.LOWEST.value
        return PoolDemand(PoolId("model-${index / tiers}"), Tier(index % tiers + 1), random.nextInt(1, 20), 8)
    }

    /**
     * Sets a newer section version on two VMs per region and runs the fleet until all VMs have it, for at most
     * [timeout]. Returns the time that this took.
     */
    fun measureDissemination(timeout: Duration): Duration {
        val version = INITIAL_VERSION + step
        val sources = addresses.groupBy { region(addresses.indexOf(it)) }.values.flatMap { it.shuffled(random).take(2) }
        sources.forEach { nodes.getValue(it).gossip.versions = versions(version) }
        val start = step
        while (nodes.values.any { it.gossip.versions.first() < version } && STEP * (step - start).toInt() < timeout) {
            run(STEP)
        }
        return STEP * (step - start).toInt()
    }

    fun run(duration: Duration) {
        repeat((duration / STEP).toInt()) {
            step += 1
            time += STEP
            deliveries.remove(step)?.forEach(::deliver)
            addresses.forEachIndexed { index, peer ->
                if ((step + index) % STEPS_PER_TICK == 0L) nodes.getValue(peer).let { send(it, it.membership.tick()) }
            }
        }
    }

    private fun start(
        index: Int,
        incarnation: Long,
    ): Node {
        val address = addresses[index]
        val callerAddress = address.replace("7400", "8080")
        val details =
            MemberDetails(address, callerAddress, region(index), FailureDomainId("${region(index)}-${index % 3}"))
        val local = LocalMember(VmId("vm-$index"), Incarnation(incarnation), details)
        val gossip = GossipState(local, time).also { it.versions = versions(INITIAL_VERSION) }
        val membership = Membership(local, time, Random(random.nextLong()), gossip)
        return Node(local, gossip, membership).also { nodes[address] = it }
    }

    private fun region(index: Int) = RegionId(if (size <= ONE_REGION_LIMIT) "region-0" else "region-${index % REGIONS}")

    private fun versions(version: Long) = SectionName.ALL.indices.map { if (it == 0) version else INITIAL_VERSION - it }

    private fun envelope(
        from: Node,
        message: PeerMessage,
    ) = PeerEnvelope(from.local.id, from.local.incarnation, message)

    private fun send(
        from: Node,
        messages: List<OutgoingMessage>,
    ) = messages.forEach { outgoing ->
        val content = PeerCodec.encode(envelope(from, outgoing.message))
        sentBytes += content.size + LENGTH_PREFIX_BYTES
        sentFrames += 1
        if (outgoing.message is PeerMessage.Probe || outgoing.message is PeerMessage.ProbeAnswer) {
            largestProbe = maxOf(largestProbe, content.size + LENGTH_PREFIX_BYTES)
        }
        // The message arrives one or two steps (20 or 40 ms) later.
        deliveries.getOrPut(step + random.nextInt(1, 3)) { ArrayList() } += Delivery(outgoing.address, content)
    }

    private fun deliver(delivery: Delivery) {
        val node = nodes.getValue(delivery.address)
        val envelope = checkNotNull(PeerCodec.decode(delivery.bytes).getOrNull())
        updateVersions(node, envelope.message)
        send(node, node.membership.receive(envelope))
    }

    private fun updateVersions(
        node: Node,
        message: PeerMessage,
    ) {
        val received =
            when (message) {
                is PeerMessage.Probe -> message.gossip.versions
                is PeerMessage.ProbeAnswer -> message.gossip.versions
                else -> emptyList()
            }
        if (received.isNotEmpty() && received.first() > node.gossip.versions.first()) node.gossip.versions = received
    }

    companion object {
        private val STEP = 20.milliseconds
        private const val STEPS_PER_TICK = 5L
        private const val LENGTH_PREFIX_BYTES = 4
        private const val REGIONS = 9

        /** Fleets of up to this number of VMs are in one region. */
        private const val ONE_REGION_LIMIT = 16
        private const val SEEDS = 3
        private const val POOLS = 3
        private const val FIRST_INCARNATION = 1_796_360_000_000L
        private const val INITIAL_VERSION = 20_000_000L

        /** Returns a fleet of one VM that knows [size] other members, to measure the memory of its member table. */
        fun memberTable(size: Int): Any {
            val fleet = SimulatedFleet(1, 1)
            val localNode = fleet.nodes.values.single()
            val updates = List(size) { member(it) }
            localNode.membership.receive(fleet.envelope(localNode, PeerMessage.StateAnswer(updates)))
            return fleet
        }

        private fun member(index: Int) =
            MemberUpdate(
                VmId("vm-${index + 1}"),
                Incarnation(FIRST_INCARNATION + index),
                details =
                    MemberDetails(
                        "10.20.${index / 200}.${index % 200}:7400",
                        "10.20.${index / 200}.${index % 200}:8080",
                        RegionId("region-${index % REGIONS}"),
                        FailureDomainId("region-${index % REGIONS}-${index % 3}"),
                    ),
            )
    }
}
