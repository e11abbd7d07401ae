package io.tarragonport.core.membership

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.CrashCount
import io.tarragonport.api.peer.Gossip
import io.tarragonport.api.peer.MemberUpdate
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PoolDemand
import io.tarragonport.api.peer.VmDemand
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Collects the reports of this VM and its peers about crashes, demand and leaving servers, and composes the gossip part
 * of messages.
 */
class GossipState(
    private val self: LocalMember,
    private val timeSource: TimeSource,
) {
    private val queue = GossipQueue()
    private val crashCounts = HashMap<String, HashMap<VmId, ReceivedCount>>()
    private val demands = HashMap<VmId, ReceivedDemand>()
    private val leavingServers = HashMap<BackendServerId, TimeMark>()
    private var demandSequence = 0L
    private var ownDemand: List<PoolDemand> = emptyList()
    private var demandAnnouncedAt: TimeMark? = null

    /** Section versions of this VM in the order of `SectionName.ALL`; empty while some are missing. */
    var versions: List<Long> = emptyList()

    /** Number of crashes by fingerprint, summed over all VMs. */
    val crashes: Map<String, Int>
        get() = crashCounts.mapValues { (_, counts) -> counts.values.sumOf { it.count } }

    /** Latest demand reported by other VMs. */
    val demand: Map<VmId, List<PoolDemand>>
        get() = demands.filterKeys { it != self.id }.mapValues { it.value.report.pools }

    /** Backend servers reported as leaving by this VM or a peer. */
    val leaving: Set<BackendServerId> get() = leavingServers.keys.toSet()

    fun enqueueUpdate(update: MemberUpdate) {
        val bytes = PeerCodec.size(MemberUpdate.serializer(), update)
        queue.add(GossipKind.MEMBER, update.id.value, bytes, update)
    }

    /** Counts a crash with [fingerprint] that this VM observed. */
    fun reportCrash(fingerprint: String) {
        val before = crashCounts[fingerprint]?.get(self.id)?.count ?: 0
        accept(CrashCount(fingerprint, self.id, before + 1))
    }

    /**
     * Sets the demand of this VM, limited to the largest [MAXIMUM_POOLS] entries. It is announced with the next
     * message, but at most at the rate at which the fleet can disseminate it.
     */
    fun reportDemand(pools: List<PoolDemand>) {
        val used = pools.filter { it.waiting + it.running > 0 }
        ownDemand = used.sortedByDescending { it.waiting + it.running }.take(MAXIMUM_POOLS)
    }

    /** Announces that [server] must not receive new work. */
    fun reportLeaving(server: BackendServerId) {
        if (leavingServers.put(server, timeSource.markNow()) == null) {
            val bytes = PeerCodec.size(String.serializer(), server.value)
            queue.add(GossipKind.LEAVING_SERVER, server.value, bytes, server)
        }
    }

    /** Merges the gossip of a message, except membership updates. */
    fun merge(gossip: Gossip) {
        gossip.leaving.forEach(::reportLeaving)
        gossip.crashes.forEach(::accept)
        gossip.demand.forEach(::accept)
    }

    /**
     * Composes gossip for the VM [target] in a fleet of [members] VMs. [targetUpdate] is the state of the target as
     * seen by this VM. It is always included, because a target that was declared dead would otherwise not learn that it
     * has to refute. Demand is included only for VMs accepted by [includesDemandOf].
     */
    fun compose(
        target: VmId?,
        targetUpdate: MemberUpdate?,
        members: Int,
        includesDemandOf: (VmId) -> Boolean,
    ): Gossip {
        announceDemand(members)
        val targetUpdateBytes = targetUpdate?.let { PeerCodec.size(MemberUpdate.serializer(), it) } ?: 0
        val versionBytes = PeerCodec.size(ListSerializer(Long.serializer()), versions)
        val budget = Gossip.MAXIMUM_BYTES - OVERHEAD_BYTES - targetUpdateBytes - versionBytes
        val items =
            queue.take(budget, members) { item ->
                val repeated = item is MemberUpdate && (item.id == targetUpdate?.id || item.id == self.id)
                !repeated && (item !is VmDemand || (item.vm != target && includesDemandOf(item.vm)))
            }
        return Gossip(
            versions = versions,
            members = listOfNotNull(targetUpdate) + items.filterIsInstance<MemberUpdate>(),
            leaving = items.filterIsInstance<BackendServerId>(),
            crashes = items.filterIsInstance<CrashCount>().map(::withCurrentAge),
            demand = items.filterIsInstance<VmDemand>(),
        )
    }

    /** Removes expired reports and the demand of VMs that are not [live]. */
    fun expire(live: Set<VmId>) {
        crashCounts.values.removeIf { counts -> counts.values.all { it.lastCrashAt.elapsedNow() >= CRASH_LIFETIME } }
        demands.entries.removeIf { (vm, received) ->
            (vm != self.id && vm !in live) || received.receivedAt.elapsedNow() >= DEMAND_LIFETIME
        }
        leavingServers.values.removeIf { it.elapsedNow() >= LEAVING_LIFETIME }
    }

    private fun announceDemand(members: Int) {
        val interval = if (members <= Membership.SMALL_FLEET) SMALL_FLEET_DEMAND_INTERVAL else DEMAND_INTERVAL
        val age = demandAnnouncedAt?.elapsedNow() ?: Duration.INFINITE
        val changed = ownDemand != demands[self.id]?.report?.pools.orEmpty()
        if ((changed && age >= interval) || (ownDemand.isNotEmpty() && age >= DEMAND_LIFETIME / 3)) {
            demandAnnouncedAt = timeSource.markNow()
            demandSequence += 1
            accept(VmDemand(self.id, self.incarnation, demandSequence, ownDemand))
        }
    }

    private fun accept(report: CrashCount) {
        if (report.ageSeconds.seconds >= CRASH_LIFETIME || report.count <= 0) return
        val counts = crashCounts.getOrPut(report.fingerprint) { HashMap() }
        if (report.count > (counts[report.vm]?.count ?: 0)) {
            val age = report.ageSeconds.coerceAtLeast(0).seconds
            counts[report.vm] = ReceivedCount(report.count, timeSource.markNow() - age)
            val bytes = PeerCodec.size(CrashCount.serializer(), report) + AGE_BYTES
            queue.add(GossipKind.CRASH, "${report.fingerprint}/${report.vm}", bytes, report)
        }
    }

    private fun accept(report: VmDemand) {
        val previous = demands[report.vm]?.report
        if (previous == null || order.compare(report, previous) > 0) {
            demands[report.vm] = ReceivedDemand(report, timeSource.markNow())
            queue.add(GossipKind.DEMAND, report.vm.value, PeerCodec.size(VmDemand.serializer(), report), report)
        }
    }

    private fun withCurrentAge(report: CrashCount): CrashCount {
        val lastCrashAt = crashCounts[report.fingerprint]?.get(report.vm)?.lastCrashAt
        return report.copy(ageSeconds = lastCrashAt?.elapsedNow()?.inWholeSeconds?.toInt() ?: report.ageSeconds)
    }

    private class ReceivedCount(
        val count: Int,
        val lastCrashAt: TimeMark,
    )

    private class ReceivedDemand(
        val report: VmDemand,
        val receivedAt: TimeMark,
    )

    companion object {
        /** Time for which a fingerprint is retained after its last crash. */
        val CRASH_LIFETIME: Duration = 10.minutes

        /** Minimum interval between announcements of one VM's demand; keeps 7 VMs below 3 KB/s. */
        val SMALL_FLEET_DEMAND_INTERVAL: Duration = 4.seconds

        /** Minimum interval in larger fleets. */
        val DEMAND_INTERVAL: Duration = 5.seconds

        /** Time for which the demand of a VM counts after it was received. */
        val DEMAND_LIFETIME: Duration = 60.seconds

        /** A server that is still leaving is reported again; one that returned is usable again after this time. */
        val LEAVING_LIFETIME: Duration = 60.seconds

        /** Limits one VM's demand to about a third of a message. */
        const val MAXIMUM_POOLS = 16

        // Encoded field numbers and list headers of the five fields.
        private const val OVERHEAD_BYTES = 20

        // The encoded age of a crash grows by at most this much while the report is in the queue.
        private const val AGE_BYTES = 4

        private val order = compareBy<VmDemand>({ it.incarnation }, { it.sequence })
    }
}
