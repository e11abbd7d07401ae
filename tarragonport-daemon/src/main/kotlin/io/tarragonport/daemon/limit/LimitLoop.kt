package io.tarragonport.daemon.limit

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.core.limit.FleetSize
import io.tarragonport.core.limit.LimitAggregator
import io.tarragonport.core.limit.LimitEnforcer
import io.tarragonport.core.limit.LimitSubject
import io.tarragonport.core.limit.ShareDecay
import io.tarragonport.daemon.caller.RateLimitDecision
import io.tarragonport.daemon.caller.RateLimiter
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.event.line
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.peer.PeerMessenger
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Enforces limits across all VMs: reports demand to the aggregator of each organisation, applies the granted shares,
 * and is the aggregator of the organisations assigned to this VM.
 *
 * [run] must be called on the control dispatcher; [RateLimiter] is safe from any thread.
 */
class LimitLoop(
    private val self: VmId,
    private val configuration: ConfigurationSource,
    private val fleet: MembershipView,
    private val peers: PeerMessenger,
    private val timeSource: TimeSource,
) : RateLimiter {
    private val enforcer = LimitEnforcer(timeSource)
    private val aggregator = LimitAggregator(timeSource, ::limitOf)
    private val aggregators = AggregatorSelector(self)
    private val unansweredSince = HashMap<VmId, TimeMark>()
    private val unresponsive = HashSet<VmId>()
    private var ticks = 0L

    init {
        peers.addHandler { from, message ->
            when (message) {
                is PeerMessage.LimitReport -> handleReport(from, message)
                is PeerMessage.LimitShare -> handleShare(from, message)
                else -> Unit
            }
        }
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            if (ticks % TICKS_PER_CLEANUP == 0L) removeStale()
            enforcer.update(fleetSize().fallbackShare, ::limitsOf)
            report()
            ticks += 1
            delay(TICK)
        }
    }

    override fun tryAcquire(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    ): RateLimitDecision {
        val refusal =
            enforcer.tryAcquire(limitsOf(organisation), organisation, key, tokens) ?: return RateLimitDecision.Granted
        val seconds = refusal.retryAfter.toDouble(DurationUnit.SECONDS)
        return RateLimitDecision.Exceeded(refusal.reason, seconds.coerceIn(1.0, MAXIMUM_RETRY_AFTER_SECONDS).toInt())
    }

    override fun charge(
        organisation: OrganisationId,
        key: KeyId?,
        acquired: Long,
        used: Long,
    ) = enforcer.charge(organisation, key, 0, used - acquired)

    override fun refund(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    ) = enforcer.charge(organisation, key, -1, -tokens)

    private fun fleetSize() = FleetSize(fleet.liveVms.value.mapTo(HashSet()) { it.id }, peers.deadPeers)

    private fun limitsOf(organisation: OrganisationId): List<Limit> =
        configuration.current.value
            ?.limits(organisation)
            .orEmpty()

    private fun limitOf(subject: LimitSubject): Limit? =
        limitsOf(subject.organisation).firstOrNull { it.key == subject.key }

    private fun removeStale() {
        aggregator.expire()
        peers.leftPeers.forEach(aggregator::removeVm)
        val live = fleet.liveVms.value.mapTo(HashSet()) { it.id }
        unansweredSince.keys.retainAll(live)
        unresponsive.retainAll(live)
        (unansweredSince.filterValues { it.elapsedNow() >= ShareDecay.GRACE }.keys - unresponsive).forEach { vm ->
            log(LimitEvents.SHARES_LOST, "$vm")
            unresponsive += vm
        }
    }

    private fun report() {
        val live = fleet.liveVms.value.map { it.id }
        aggregators.update(live)
        enforcer.reports(live.size, aggregators::of).forEach { (vm, entries) -> send(vm, entries) }
    }

    private fun send(
        vm: VmId,
        entries: List<LimitDemand>,
    ) {
        if (vm == self) {
            enforcer.granted(aggregator.report(self, entries, fleetSize()))
            sendUnsolicitedGrants()
        } else {
            unansweredSince.getOrPut(vm) { timeSource.markNow() }
            peers.send(vm, PeerMessage.LimitReport(entries))
        }
    }

    private fun handleReport(
        from: VmId,
        message: PeerMessage.LimitReport,
    ) {
        val grants = aggregator.report(from, message.entries, fleetSize())
        if (grants.isNotEmpty()) peers.send(from, PeerMessage.LimitShare(grants))
        sendUnsolicitedGrants()
    }

    private fun sendUnsolicitedGrants() =
        aggregator.takeUnsolicitedGrants().forEach { (vm, grants) ->
            if (vm == self) enforcer.granted(grants) else peers.send(vm, PeerMessage.LimitShare(grants))
        }

    private fun handleShare(
        from: VmId,
        message: PeerMessage.LimitShare,
    ) {
        enforcer.granted(message.entries)
        unansweredSince.remove(from)
        if (unresponsive.remove(from)) log(LimitEvents.SHARES_RECEIVED, "$from")
    }

    private fun log(
        event: LogEvent,
        text: String,
    ) = logger.info { event.line(text) }

    companion object {
        /** Interval at which rates are updated to decaying shares and changed limits, and due reports are sent. */
        val TICK: Duration = 250.milliseconds

        private const val TICKS_PER_CLEANUP = 4L
        private const val MAXIMUM_RETRY_AFTER_SECONDS = 60.0
    }
}
