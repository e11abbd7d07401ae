package io.tarragonport.core.membership

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.platform.ListedVm
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Membership instances in virtual time that exchange encoded messages over a simulated network with faults. */
internal class VirtualFleet(
    size: Int,
    private val seed: Int = 1,
    private val seeds: Int = 1,
) {
    val time = TestTimeSource()
    val nodes = LinkedHashMap<String, Node>()
    var largestFrame = 0
        private set

    /** True if a message from the first to the second VM is lost. */
    var drops: (String, String) -> Boolean = { _, _ -> false }
    val frozen = HashSet<String>()
    private val random = Random(seed)
    private val inFlight = ArrayList<Message>()
    private var clock = Duration.ZERO

    init {
        repeat(size) { start("vm-$it") }
    }

    class Node(
        val local: LocalMember,
        val gossip: GossipState,
        val membership: Membership,
    ) {
        fun liveNames() = membership.live.map { it.id.value }.toSet()
    }

    private class Message(
        val due: Duration,
        val to: String,
        val from: String,
        val bytes: ByteArray,
    )

    fun start(
        name: String,
        incarnation: Long = 1,
    ): Node {
        val details = MemberDetails(name, "$name-caller", RegionId("lima"), FailureDomainId("lima-1"))
        val local = LocalMember(VmId(name), Incarnation(incarnation), details)
        val gossip = GossipState(local, time)
        val membership = Membership(local, time, Random(seed * 1_000 + name.hashCode()), gossip)
        membership.addSeeds(List(seeds) { "vm-$it" })
        return Node(local, gossip, membership).also { nodes[name] = it }
    }

    fun stop(name: String) {
        nodes.remove(name)
    }

    fun list(names: Collection<String>) {
        val region = RegionId("lima")
        val vms = names.map { ListedVm(VmId(it), it, "$it-caller", region, FailureDomainId("lima-1")) }
        nodes.values.forEach { it.membership.updateVmList(vms) }
    }

    fun send(
        from: Node,
        messages: List<OutgoingMessage>,
    ) {
        val sender = from.local
        messages.forEach { outgoing ->
            val bytes = PeerCodec.encode(PeerEnvelope(sender.id, sender.incarnation, outgoing.message))
            if (inFlight.isEmpty() || bytes.size > largestFrame) largestFrame = maxOf(largestFrame, bytes.size)
            if (!drops(sender.id.value, outgoing.address)) {
                val due = clock + random.nextInt(1, 5).milliseconds
                inFlight += Message(due, outgoing.address, sender.id.value, bytes)
            }
        }
    }

    fun run(duration: Duration) {
        val end = clock + duration
        while (clock < end) {
            time += STEP
            clock += STEP
            deliver()
            nodes.values.toList().filter { it.local.id.value !in frozen }.forEach { node ->
                if (clock.inWholeMilliseconds % Membership.TICK.inWholeMilliseconds == 0L) {
                    send(node, node.membership.tick())
                }
            }
        }
    }

    private fun deliver() {
        val due = inFlight.filter { it.due <= clock && it.to !in frozen }
        inFlight.removeAll(due.toSet())
        due.forEach { message ->
            val node = nodes[message.to]
            val envelope = PeerCodec.decode(message.bytes).getOrNull()
            if (node != null && envelope != null) send(node, node.membership.receive(envelope))
        }
    }

    /** Time until [condition] is true, null if it does not become true within [limit]. */
    fun timeUntil(
        limit: Duration,
        condition: () -> Boolean,
    ): Duration? {
        val start = clock
        while (!condition()) {
            if (clock - start >= limit) return null
            run(STEP)
        }
        return clock - start
    }

    private companion object {
        val STEP = 20.milliseconds
    }
}
