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

/** Collects the reports of peers and of this VM other than membership, and composes the gossip part of messages. */
class GossipState(
    private val self: LocalMember,
    private val timeSource: TimeSource,
) {
    private val queue = GossipQueue()
    private val crashCounts = HashMap<String, HashMap<VmId, TimedCount>>()
    private val demands = HashMap<VmId, TimedDemand>()
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
     * Composes gossip for the VM [target] in a fleet of [members]. [first] is always included: without it, a target
     * that was declared dead would not learn that it has to refute. Demand is included only for VMs accepted by
     * [demandOf].
     */
    fun compose(
        target: VmId?,
        first: MemberUpdate?,
        members: Int,
        demandOf: (VmId) -> Boolean,
    ): Gossip {
        announceDemand(members)
        val firstBytes = first?.let { PeerCodec.size(MemberUpdate.serializer(), it) } ?: 0
        val versionBytes = PeerCodec.size(ListSerializer(Long.serializer()), versions)
        val budget = Gossip.MAXIMUM_BYTES - OVERHEAD_BYTES - firstBytes - versionBytes
        val items =
            queue.take(budget, members) { item ->
                val repeated = item is MemberUpdate && (item.id == first?.id || item.id == self.id)
                !repeated && (item !is VmDemand || (item.vm != target && demandOf(item.vm)))
            }
        return Gossip(
            versions = versions,
            members = listOfNotNull(first) + items.filterIsInstance<MemberUpdate>(),
            leaving = items.filterIsInstance<BackendServerId>(),
            crashes = items.filterIsInstance<CrashCount>().map(::withCurrentAge),
            demand = items.filterIsInstance<VmDemand>(),
        )
    }

    /** Removes expired reports and the demand of VMs that are not [live]. */
    fun expire(live: Set<VmId>) {
        crashCounts.values.removeIf { counts -> counts.values.all { it.last.elapsedNow() >= CRASH_LIFETIME } }
        demands.entries.removeIf { (vm, timed) ->
            (vm != self.id && vm !in live) || timed.since.elapsedNow() >= DEMAND_LIFETIME
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
            counts[report.vm] = TimedCount(report.count, timeSource.markNow() - age)
            val bytes = PeerCodec.size(CrashCount.serializer(), report) + AGE_BYTES
            queue.add(GossipKind.CRASH, "${report.fingerprint}/${report.vm}", bytes, report)
        }
    }

    private fun accept(report: VmDemand) {
        val known = demands[report.vm]?.report
        if (known == null || order.compare(report, known) > 0) {
            demands[report.vm] = TimedDemand(report, timeSource.markNow())
            queue.add(GossipKind.DEMAND, report.vm.value, PeerCodec.size(VmDemand.serializer(), report), report)
        }
    }

    private fun withCurrentAge(report: CrashCount): CrashCount {
        val last = crashCounts[report.fingerprint]?.get(report.vm)?.last
        return report.copy(ageSeconds = last?.elapsedNow()?.inWholeSeconds?.toInt() ?: report.ageSeconds)
    }

    private class TimedCount(
        val count: Int,
        val last: TimeMark,
    )

    private class TimedDemand(
        val report: VmDemand,
        val since: TimeMark,
    )

    companion object {
        /** Time after the last crash after which a fingerprint expires. */
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

        // Field numbers and list headers of the five fields, and the largest growth of a crash's age when encoded.
        private const val OVERHEAD_BYTES = 20
        private const val AGE_BYTES = 4

        private val order = compareBy<VmDemand>({ it.incarnation }, { it.sequence })
    }
}
