package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.gateway.DutyInterface
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.core.gateway.usage.FinalCounts
import io.tarragonport.core.lease.ClockFencingTokens
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.core.lease.LeaseSettings
import io.tarragonport.core.store.EraSighting
import io.tarragonport.daemon.lease.LeaseCandidacy
import io.tarragonport.daemon.lease.LeaseLoop
import io.tarragonport.platform.PlatformTimeouts
import kotlinx.coroutines.CoroutineDispatcher
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Wires the lease and the duties of its holder: usage reports and orders of backend servers, sent to [platform].
 *
 * [services] and [servers] supply the scaled services and the registered servers; they are called on [dispatcher], the
 * dispatcher of control loops, as are all functions of this class.
 */
internal class DutyModule(
    settings: GatewaySettings,
    owner: LeaseOwner,
    platform: DutyInterface,
    store: ObjectStore,
    dispatcher: CoroutineDispatcher,
    clock: TimeSource.WithComparableMarks,
    private val wallClock: Clock,
    private val recordTable: VmRecordTable,
    fleetLoop: FleetLoop,
    private val services: () -> Collection<GatewayService>,
    private val servers: () -> Collection<RegisteredServer>,
    log: ControlLog,
) {
    private val candidacy = LeaseCandidacy(LEASE, settings.vmId, CANDIDATES) { recordTable.live().map { it.vm } }
    private val lease =
        LeaseLoop(
            LEASE,
            owner,
            store,
            dispatcher,
            clock,
            leaseSettings(settings.leaseSeconds),
            ClockFencingTokens(owner, wallClock),
            candidacy::eligible,
        )
    private val finalCounts = FinalCounts(settings.usageWindowSeconds.seconds)
    private val usage =
        UsageDuty(
            settings.vmId,
            store,
            platform,
            lease,
            recordTable,
            finalCounts,
            wallClock,
            settings.usageWindowSeconds.seconds,
            settings.usageDueSeconds.seconds,
            TIMEOUTS.order,
            log,
        )
    private val scaling =
        ScalingDuty(
            settings.vmId,
            platform,
            lease,
            recordTable,
            ScalingBaselines(store),
            clock,
            TIMEOUTS.order,
            log,
        )
    private val loop = DutyLoop(lease, fleetLoop, usage, scaling, ::scale)

    /** The highest fencing token known to this VM. */
    val highestToken: FencingToken get() = lease.highestToken

    /** Starts the lease and the duties. */
    fun start(loops: LoopRunner) {
        loops.launch("lease") { lease.run() }
        loops.launch("duties") { loop.run() }
    }

    /** Releases the lease and waits up to [timeout] until this is written. */
    suspend fun release(timeout: Duration) = lease.release(timeout)

    /** The store's era and since when it is known; null for a store without eras. */
    val eraSighting: EraSighting? get() = finalCounts.sighting

    /**
     * Final counts to publish in this VM's record. Only the VMs that may acquire the lease publish them, which is enough
     * to keep them through the loss of a holder.
     */
    fun publishedCounts(): Map<Long, Map<OrganisationId, Long>> =
        if (candidacy.eligible()) finalCounts.since(usage.firstDueWindow) else emptyMap()

    /** Gives up the lease because the object store was restored from an older copy and is in [era] now. */
    fun storeRestored(era: StoreEra) {
        finalCounts.eraBegan(era, wallClock.now().toEpochMilliseconds())
        lease.storeRestored()
    }

    /** Takes note of what other VMs know, after the VM records were read. */
    fun recordsRead() {
        lease.tokenSeen(recordTable.highestToken())
        recordTable.records().forEach { record ->
            record.era?.let(finalCounts::learn)
            record.finalCounts.forEach(finalCounts::learn)
        }
    }

    private suspend fun scale(duty: ScalingDuty) {
        val scaledServices = services()
        val domains =
            scaledServices
                .flatMap {
                    it.scaling
                        ?.domainPrices
                        ?.keys
                        .orEmpty()
                }.toSet()
        duty.run(scaledServices, servers(), domains)
    }

    companion object {
        private const val LEASE = "duties"

        /**
         * Number of VMs that may acquire the lease. An object store that refuses a third of the VMs refuses all five
         * with a probability of less than 1/200.
         */
        private const val CANDIDATES = 5

        /** Lease duration as a multiple of `leaseSeconds`, so that one lost renewal does not end the lease. */
        private const val LEASE_FACTOR = 2.0
        private val LEASE_MARGIN = 500.milliseconds
        private val LEASE_RETRY_INTERVAL = 400.milliseconds

        /** The platform's duty endpoints respond within milliseconds, or up to 500 ms when slow. */
        val TIMEOUTS = PlatformTimeouts(connect = 400.milliseconds, call = 1.seconds, order = 1.seconds)

        /** Settings with which actions of two successive lease holders are at least [leaseSeconds] apart. */
        private fun leaseSettings(leaseSeconds: Double): LeaseSettings =
            LeaseSettings.forCalls(
                duration = (leaseSeconds * LEASE_FACTOR).seconds,
                margin = LEASE_MARGIN,
                longestCall = TIMEOUTS.order,
                retryInterval = LEASE_RETRY_INTERVAL,
            )
    }
}
