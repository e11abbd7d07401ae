package io.tarragonport.tool.bench

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.estimate.LengthEstimator
import io.tarragonport.core.health.CrashHistory
import org.apache.commons.math3.random.Well19937c

/** One run of the bench: seven VMs, each with its own policy instance, that dispatch to the engines of one pool. */
class BenchRun(
    private val options: BenchOptions,
) {
    private val clock = VirtualClock()
    private val events = EventQueue(clock)
    private val metrics = BenchMetrics(clock)
    private val statuses = ServerFleet.servers(options)
    private val engines = statuses.associate { it.id to EngineModel(it, events) }
    private val crashHistories = List(BenchPolicy.VM_COUNT) { CrashHistory(clock) }
    private val vms =
        crashHistories.mapIndexed { index, history ->
            val estimator = LengthEstimator(options.estimateScale)
            val policy = options.policy.create(index, options.seed, clock, history, estimator)
            BenchVm(policy, engines, events, clock, metrics)
        }
    private val batchLossRandom = Well19937c(options.seed + LOSS_SEED_OFFSET)
    private val reclaimedServers = HashSet<BackendServerId>()
    private var publishedServers = statuses

    fun run(): BenchResult {
        publishServers(statuses)
        TrafficGenerator(options, clock).schedule(events) { request, vm -> vms[vm].arrive(request) }
        scheduleReports()
        scheduleFaults()
        events.every(TICK_INTERVAL_MS, END_SECONDS) { vms.forEach { it.perform(it.policy.tick()) } }
        events.every(PEER_EXCHANGE_INTERVAL_MS, END_SECONDS) { exchangeCrashRecords() }
        events.run(Scenario.ARRIVAL_SECONDS)
        metrics.arrivalsEnded()
        events.run(END_SECONDS)
        return metrics.result(options, ServerFleet.pricePerSecond(statuses))
    }

    private fun publishServers(servers: List<ServerStatus>) {
        publishedServers = servers
        vms.forEach { it.perform(it.policy.serversChanged(servers, BenchPolicy.VM_IDS)) }
    }

    private fun scheduleReports() {
        val intervalMs = options.scenario.reportIntervalMs
        engines.values.forEachIndexed { index, engine ->
            events.after(intervalMs * index / engines.size) {
                events.every(intervalMs, END_SECONDS) { sendReport(engine) }
            }
            events.every(CACHE_EVENT_INTERVAL_MS, END_SECONDS) { sendCacheEvents(engine) }
            detectCrashes(engine)
        }
    }

    private fun sendReport(engine: EngineModel) {
        if (!engine.up) return
        val loadReport = engine.loadReport(options.scenario.reportAgeMs)
        events.after(
            options.scenario.reportAgeMs.toDouble(),
        ) { vms.forEach { it.perform(it.policy.loadReported(loadReport)) } }
    }

    /** Cache events arrive with a delay, and one batch in ten is lost. */
    private fun sendCacheEvents(engine: EngineModel) {
        val batch = engine.cache.takeEvents()
        if (batch.isEmpty() || batchLossRandom.nextDouble() < LOST_BATCH_SHARE) return
        events.after(CACHE_EVENT_INTERVAL_MS) { vms.forEach { it.policy.cacheChanged(engine.status.id, batch) } }
    }

    /** Crashed engines are detected by the periodic inventory poll and restarted after a delay. */
    private fun detectCrashes(engine: EngineModel) {
        var detected = false
        events.every(INVENTORY_INTERVAL_MS, END_SECONDS) {
            if (!engine.up && !detected && engine.status.id !in reclaimedServers) {
                detected = true
                metrics.serverCrashes++
                publishServers(publishedServers.map { if (it.id == engine.status.id) it.copy(leaving = true) else it })
                events.after(RESTART_DELAY_MS) {
                    detected = false
                    engine.restart()
                    publishServers(publishedServers.map { if (it.id == engine.status.id) engine.status else it })
                }
            }
        }
    }

    private fun scheduleFaults() {
        if (options.scenario == Scenario.STRAGGLERS) scheduleStragglers()
        if (options.scenario == Scenario.DOMAIN_RECLAIM) scheduleReclaim()
    }

    private fun scheduleStragglers() {
        val stragglerCount = engines.size / STRAGGLER_DIVISOR
        val allEngines = engines.values.toList()
        slowDown(allEngines.take(stragglerCount), STRAGGLERS_START_SECONDS, STRAGGLERS_SWITCH_SECONDS)
        slowDown(allEngines.takeLast(stragglerCount), STRAGGLERS_SWITCH_SECONDS, STRAGGLERS_END_SECONDS)
    }

    private fun slowDown(
        servers: List<EngineModel>,
        from: Double,
        until: Double,
    ) {
        events.atSeconds(from) { servers.forEach { it.slowdown = STRAGGLER_SLOWDOWN } }
        events.atSeconds(until) { servers.forEach { it.slowdown = 1.0 } }
    }

    private fun scheduleReclaim() {
        val reclaimedEngines =
            engines.values.filter {
                it.status.cheap && it.status.failureDomain == statuses.first().failureDomain
            }
        val ids = reclaimedEngines.map { it.status.id }.toSet()
        events.atSeconds(RECLAIM_NOTICE_SECONDS) {
            reclaimedEngines.flatMap { it.attempts() }.forEach { it.request.affectedByReclaim = true }
            publishServers(publishedServers.map { if (it.id in ids) it.copy(leaving = true) else it })
        }
        events.atSeconds(RECLAIM_SECONDS) {
            reclaimedServers.addAll(ids)
            reclaimedEngines.flatMap { it.attempts() }.forEach { it.request.affectedByReclaim = true }
            reclaimedEngines.forEach { it.stop() }
        }
        events.atSeconds(RECLAIM_END_SECONDS) {
            reclaimedServers.removeAll(ids)
            reclaimedEngines.forEach { it.restart() }
            publishServers(statuses)
        }
    }

    private fun exchangeCrashRecords() {
        val recordsByVm = crashHistories.map { it.records() }
        crashHistories.forEachIndexed { index, history ->
            recordsByVm.forEachIndexed { from, records -> if (from != index) history.merge(records) }
        }
    }

    private companion object {
        /** Later than the end of arrivals ([Scenario.ARRIVAL_SECONDS]) plus the longest deadline. */
        const val END_SECONDS = 370.0
        const val TICK_INTERVAL_MS = 100.0
        const val PEER_EXCHANGE_INTERVAL_MS = 1_000.0
        const val CACHE_EVENT_INTERVAL_MS = 2_000.0
        const val LOST_BATCH_SHARE = 0.1
        const val LOSS_SEED_OFFSET = 7_919L
        const val INVENTORY_INTERVAL_MS = 3_000.0
        const val RESTART_DELAY_MS = 15_000.0

        /** One server in this number is a straggler at any time. */
        const val STRAGGLER_DIVISOR = 6
        const val STRAGGLER_SLOWDOWN = 6.0
        const val STRAGGLERS_START_SECONDS = 30.0
        const val STRAGGLERS_SWITCH_SECONDS = 95.0
        const val STRAGGLERS_END_SECONDS = 160.0
        const val RECLAIM_NOTICE_SECONDS = 60.0
        const val RECLAIM_SECONDS = 65.0
        const val RECLAIM_END_SECONDS = 125.0
    }
}
