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
    private val crashHistories = List(BenchPolicy.VMS) { CrashHistory(clock) }
    private val vms =
        crashHistories.mapIndexed { index, history ->
            val estimator = LengthEstimator(options.estimateScale)
            val policy = options.policy.create(index, options.seed, clock, history, estimator)
            BenchVm(policy, engines, events, clock, metrics)
        }
    private val lossRandom = Well19937c(options.seed + LOSS_SEED)
    private val reclaimed = HashSet<BackendServerId>()
    private var publishedServers = statuses

    fun run(): BenchResult {
        publishServers(statuses)
        TrafficGenerator(options, clock).schedule(events) { request, vm -> vms[vm].arrive(request) }
        scheduleReports()
        scheduleFaults()
        events.every(TICK_INTERVAL_MS, END_SECONDS) { vms.forEach { it.perform(it.policy.tick()) } }
        events.every(PEER_EXCHANGE_INTERVAL_MS, END_SECONDS) { exchangeCrashes() }
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
        val every = options.scenario.reportIntervalMs
        engines.values.forEachIndexed { index, engine ->
            events.after(every * index / engines.size) { events.every(every, END_SECONDS) { sendReport(engine) } }
            events.every(CACHE_EVENT_INTERVAL_MS, END_SECONDS) { sendCacheEvents(engine) }
            detectCrashes(engine)
        }
    }

    private fun sendReport(engine: EngineModel) {
        if (!engine.up) return
        val report = engine.report(options.scenario.reportAgeMs)
        events.after(
            options.scenario.reportAgeMs.toDouble(),
        ) { vms.forEach { it.perform(it.policy.loadReported(report)) } }
    }

    /** Cache events arrive with a delay, and one batch in ten is lost. */
    private fun sendCacheEvents(engine: EngineModel) {
        val batch = engine.cache.takeEvents()
        if (batch.isEmpty() || lossRandom.nextDouble() < LOST_BATCH_SHARE) return
        events.after(CACHE_EVENT_INTERVAL_MS) { vms.forEach { it.policy.cacheChanged(engine.status.id, batch) } }
    }

    /** Crashed engines are detected by the periodic inventory poll and restarted after a delay. */
    private fun detectCrashes(engine: EngineModel) {
        var detected = false
        events.every(INVENTORY_INTERVAL_MS, END_SECONDS) {
            if (!engine.up && !detected && engine.status.id !in reclaimed) {
                detected = true
                metrics.crashes++
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
        val each = engines.size / STRAGGLER_DIVISOR
        val all = engines.values.toList()
        slowDown(all.take(each), STRAGGLE_START_SECONDS, STRAGGLE_MIDDLE_SECONDS)
        slowDown(all.takeLast(each), STRAGGLE_MIDDLE_SECONDS, STRAGGLE_END_SECONDS)
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
            reclaimedEngines.flatMap { it.requests() }.forEach { it.request.reclaimed = true }
            publishServers(publishedServers.map { if (it.id in ids) it.copy(leaving = true) else it })
        }
        events.atSeconds(RECLAIM_SECONDS) {
            reclaimed.addAll(ids)
            reclaimedEngines.flatMap { it.requests() }.forEach { it.request.reclaimed = true }
            reclaimedEngines.forEach { it.stop() }
        }
        events.atSeconds(RECLAIM_END_SECONDS) {
            reclaimed.removeAll(ids)
            reclaimedEngines.forEach { it.restart() }
            publishServers(statuses)
        }
    }

    private fun exchangeCrashes() {
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
        const val LOSS_SEED = 7_919L
        const val INVENTORY_INTERVAL_MS = 3_000.0
        const val RESTART_DELAY_MS = 15_000.0
        const val STRAGGLER_DIVISOR = 6
        const val STRAGGLER_SLOWDOWN = 6.0
        const val STRAGGLE_START_SECONDS = 30.0
        const val STRAGGLE_MIDDLE_SECONDS = 95.0
        const val STRAGGLE_END_SECONDS = 160.0
        const val RECLAIM_NOTICE_SECONDS = 60.0
        const val RECLAIM_SECONDS = 65.0
        const val RECLAIM_END_SECONDS = 125.0
    }
}
