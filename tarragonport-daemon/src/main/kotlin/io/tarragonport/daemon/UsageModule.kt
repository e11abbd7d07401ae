package io.tarragonport.daemon

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.UsageReportInterface
import io.tarragonport.api.status.LeaseStatus
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.daemon.lease.LeaseCandidacy
import io.tarragonport.daemon.lease.LeaseLoop
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.membership.vmsInRegionOf
import io.tarragonport.daemon.usage.OrganisationMeter
import io.tarragonport.daemon.usage.UsageFlusher
import io.tarragonport.daemon.usage.UsageReporter
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/** Usage metering of one process; reports usage while the process holds the lease of the only shard. */
internal class UsageModule(
    store: ObjectStore,
    reports: UsageReportInterface,
    vm: VmId,
    incarnation: Incarnation,
    clock: Clock,
    fleet: MembershipView,
    private val loops: ControlLoops,
) {
    private val candidacy = LeaseCandidacy(LEASE, vm) { fleet.vmsInRegionOf(vm) }
    private val lease =
        LeaseLoop(LEASE, LeaseOwner(vm, incarnation), store, loops.dispatcher, eligible = candidacy::eligible)
    private val flusher: UsageFlusher
    private val reporter: UsageReporter

    /** Counts tokens for billing. */
    val meter = OrganisationMeter(clock)

    /** The lease, if this process holds it. */
    val heldLease: LeaseStatus? get() = lease.heldToken.value?.let { LeaseStatus(LEASE, it) }

    init {
        flusher = UsageFlusher(store, meter, vm, incarnation, clock)
        reporter = UsageReporter(store, reports, lease::authorize, vm, SHARD, SHARDS, clock)
    }

    fun start() {
        loops.start("usage lease") { lease.run() }
        loops.start("usage flush") { flusher.run() }
        loops.start("usage reports") { reporter.run() }
    }

    /** Flushes the remaining usage and releases the lease. */
    suspend fun stop() {
        flusher.finish(FLUSH_TIMEOUT)
        lease.release()
    }

    private companion object {
        /** One object has room for 650 organisations; more shards would divide the reports among several holders. */
        const val SHARDS = 1
        const val SHARD = 0
        const val LEASE = "usage/0"
        val FLUSH_TIMEOUT = 10.seconds
    }
}
