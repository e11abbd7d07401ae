package io.tarragonport.core.admission

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.estimate.LengthEstimator
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.core.health.StragglerDetector
import io.tarragonport.core.routing.ServerChooser
import io.tarragonport.core.routing.ServerEligibility
import io.tarragonport.core.routing.ServerSubset
import org.apache.commons.math3.random.RandomGenerator
import kotlin.time.TimeSource

/**
 * The daemon's dispatch policy: tiers with floors, fair sharing among organisations, refusal of requests that cannot
 * meet their deadline, shedding and preemption of the lowest tier, and routing by expected cost.
 *
 * [random] must be seeded differently on each VM. The owner of [crashes] exchanges its contents with the peers.
 */
class TieredDispatch(
    vm: VmId,
    clock: TimeSource.WithComparableMarks,
    random: RandomGenerator,
    crashes: CrashHistory = CrashHistory(clock),
    estimator: LengthEstimator = LengthEstimator(),
    settings: DispatchSettings = DispatchSettings(),
) : DispatchPolicy {
    private val times = RequestTimes(clock)
    private val detector = StragglerDetector(clock)
    private val subset = ServerSubset(vm, settings.subsetSize)
    private val pools = LinkedHashMap<PoolId, PoolState>()
    private val poolOfServer = HashMap<BackendServerId, PoolState>()
    private val attempts = HashMap<RequestId, RunningRequest>()
    private val preemptionCounts = PreemptionCounts()
    private val admission = RequestAdmission(times, estimator, crashes, settings.queueBound)
    private val starter =
        RequestStarter(admission, ServerChooser(random, ServerEligibility(detector)), detector, attempts)
    private val preemption = StreamPreemption(preemptionCounts)
    private val statistics = AttemptStatistics(estimator, detector, crashes, preemptionCounts)
    private var nextEvaluation = 0L

    override fun submit(request: PendingRequest): List<DispatchDecision> {
        val preemptions = preemptionCounts.take(request.id)
        admission.refuseBlocked(request, preemptions > 0)?.let { return listOf(it) }
        val now = times.now()
        val state = state(request.pool)
        val waiting = admission.prepare(request, state, preemptions, now)
        if (waiting.latestStart < now) return listOf(admission.deadlineRefusal(waiting))
        state.queue.add(waiting, now)
        val decisions = ArrayList<DispatchDecision>(1)
        dispatch(state, now, decisions)
        admission.shed(state, waiting)?.let { decisions += it }
        return decisions
    }

    override fun progressed(
        request: RequestId,
        generatedTokens: Int,
    ) {
        val attempt = attempts[request] ?: return
        statistics.progressed(attempt, generatedTokens, times.now())
    }

    override fun finished(
        request: RequestId,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ): List<DispatchDecision> {
        val attempt = attempts.remove(request) ?: return emptyList()
        val now = times.now()
        val pending = attempt.waiting.request
        val state = state(pending.pool)
        state.running.remove(attempt)
        attempt.serverPool.ended(
            attempt.server,
            attempt.waiting.route,
            now,
            (now - attempt.startedAt) / NANOS_PER_SECOND,
        )
        state.queue.correctCharge(attempt.waiting, pending.promptTokens + generatedTokens)
        statistics.ended(attempt, state, outcome, generatedTokens)
        val decisions = ArrayList<DispatchDecision>(1)
        dispatch(state, now, decisions)
        return decisions
    }

    override fun cancelled(request: RequestId): List<DispatchDecision> {
        pools.values.forEach { state -> state.queue[request]?.let { state.queue.remove(it) } }
        preemptionCounts.take(request)
        return emptyList()
    }

    override fun serversChanged(
        servers: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ): List<DispatchDecision> {
        val byPool = servers.groupBy { it.pool }
        (byPool.keys + pools.keys).forEach { state(it).serverPool.update(byPool[it].orEmpty(), liveVms) }
        poolOfServer.clear()
        pools.values.forEach { state -> state.serverPool.servers.forEach { poolOfServer[it.status.id] = state } }
        val decisions = ArrayList<DispatchDecision>()
        pools.values.forEach { preemption.relocateFromReclaimed(it, decisions) }
        dispatchAll(decisions)
        return decisions
    }

    override fun loadReported(report: LoadReport): List<DispatchDecision> {
        val state = poolOfServer[report.server] ?: return emptyList()
        val server = state.serverPool.server(report.server) ?: return emptyList()
        val now = times.now()
        state.serverPool.reported(server, report, now)
        server.draining = report.draining
        val decisions = ArrayList<DispatchDecision>()
        dispatch(state, now, decisions)
        return decisions
    }

    override fun cacheChanged(
        server: BackendServerId,
        events: List<CacheEvent>,
    ) {
        poolOfServer[server]
            ?.serverPool
            ?.server(server)
            ?.cache
            ?.apply(events)
    }

    override fun tick(): List<DispatchDecision> {
        val now = times.now()
        val decisions = ArrayList<DispatchDecision>()
        pools.values.forEach { admission.refuseExpired(it, now, decisions) }
        if (now >= nextEvaluation) {
            nextEvaluation = now + EVALUATION_INTERVAL_NANOS
            pools.values.forEach { ejectStragglers(it, decisions) }
        }
        pools.values.forEach { preemption.preemptOnSameServer(it, now, decisions) }
        pools.values.forEach { preemption.cancelUnreachable(it, now, decisions) }
        dispatchAll(decisions)
        return decisions
    }

    /** Queues, running requests and ejected servers by pool. */
    fun status(): List<DispatchStatus> =
        pools.map { (pool, state) ->
            val ejected =
                state.serverPool.servers
                    .filter { it.health.ejected }
                    .map { it.status.id }
            DispatchStatus(pool, state.queue.sizeByTier(), state.running.size, ejected)
        }

    private fun dispatchAll(decisions: MutableList<DispatchDecision>) {
        val now = times.now()
        pools.values.forEach { dispatch(it, now, decisions) }
    }

    private fun dispatch(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ) {
        admission.refuseExpired(state, now, decisions)
        admission.refuseMissedTarget(state, now, decisions)
        starter.startAll(state, now, decisions)
        if (state.queue.size > 0) preemption.preemptForTierOne(state, now, decisions)
    }

    private fun ejectStragglers(
        state: PoolState,
        decisions: MutableList<DispatchDecision>,
    ) {
        val servers = state.serverPool.servers
        val busy = servers.filter { it.load.ownRequests > 0 }.mapTo(HashSet()) { it.health }
        val ejected = detector.evaluate(servers.map { it.health }) { it in busy }.toSet()
        if (ejected.isNotEmpty()) preemption.relocate(state, decisions) { it.health in ejected }
    }

    private fun state(pool: PoolId): PoolState = pools.getOrPut(pool) { PoolState(subset) }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val EVALUATION_INTERVAL_NANOS = 1_000_000_000L
    }
}
