package io.tarragonport.tool.bench

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.estimate.LengthEstimator
import io.tarragonport.core.health.CrashHistory
import org.apache.commons.math3.random.Well19937c

/** One run of the bench: seven VMs, each with its own policy instance, in front of the engines of one pool. */
class BenchRun(
    private val options: BenchOptions,
) {
    private val clock = VirtualClock()
    private val events = EventQueue(clock)
    private val metrics = BenchMetrics(clock)
    private val statuses = ServerFleet.servers(options)
    private val engines = statuses.associate { it.id to EngineModel(it, events) }
    private val ledgers = List(BenchPolicy.VMS) { CrashHistory(clock) }
    private val vms =
        ledgers.mapIndexed { index, ledger ->
            val estimator = LengthEstimator(options.estimateScale)
            val policy = options.policy.create(index, options.seed, clock, ledger, estimator)
            BenchVm(policy, engines, events, clock, metrics)
        }
    private val lossRandom = Well19937c(options.seed + LOSS_SEED)
    private val reclaimed = HashSet<BackendServerId>()
    private var announced = statuses

    fun run(): BenchResult {
        announce(statuses)
        TrafficSource(options, clock).schedule(events) { request, vm -> vms[vm].arrive(request) }
        scheduleReports()
        scheduleFaults()
        events.every(TICK_MS, END_SECONDS) { vms.forEach { it.perform(it.policy.tick()) } }
        events.every(PEER_MS, END_SECONDS) { exchangeCrashes() }
        events.run(Scenario.SECONDS)
        metrics.arrivalsOver()
        events.run(END_SECONDS)
        return metrics.result(options, ServerFleet.pricePerSecond(statuses))
    }

    private fun announce(servers: List<ServerStatus>) {
        announced = servers
        vms.forEach { it.perform(it.policy.serversChanged(servers, BenchPolicy.VM_IDS)) }
    }

    private fun scheduleReports() {
        val every = options.scenario.reportEveryMs
        engines.values.forEachIndexed { index, engine ->
            events.after(every * index / engines.size) { events.every(every, END_SECONDS) { sendReport(engine) } }
            events.every(CACHE_EVENT_MS, END_SECONDS) { sendCacheEvents(engine) }
            watchForCrash(engine)
        }
    }

    private fun sendReport(engine: EngineModel) {
        if (!engine.up) return
        val report = engine.report(options.scenario.reportAgeMs)
        events.after(
            options.scenario.reportAgeMs.toDouble(),
        ) { vms.forEach { it.perform(it.policy.loadReported(report)) } }
    }

    /** Cache events are late, and one batch in ten is lost. */
    private fun sendCacheEvents(engine: EngineModel) {
        val batch = engine.cache.takeEvents()
        if (batch.isEmpty() || lossRandom.nextDouble() < LOST_BATCHES) return
        events.after(CACHE_EVENT_MS) { vms.forEach { it.policy.cacheChanged(engine.status.id, batch) } }
    }

    /** The inventory notices a crashed engine after a lag, and the engine is restarted. */
    private fun watchForCrash(engine: EngineModel) {
        var noticed = false
        events.every(INVENTORY_MS, END_SECONDS) {
            if (!engine.up && !noticed && engine.status.id !in reclaimed) {
                noticed = true
                metrics.crashes++
                announce(announced.map { if (it.id == engine.status.id) it.copy(leaving = true) else it })
                events.after(RESTART_MS) {
                    noticed = false
                    engine.restart()
                    announce(announced.map { if (it.id == engine.status.id) engine.status else it })
                }
            }
        }
    }

    private fun scheduleFaults() {
        if (options.scenario == Scenario.STRAGGLERS) scheduleStragglers()
        if (options.scenario == Scenario.DOMAIN_RECLAIM) scheduleReclaim()
    }

    private fun scheduleStragglers() {
        val each = engines.size / STRAGGLER_PART
        val all = engines.values.toList()
        slow(all.take(each), STRAGGLE_START, STRAGGLE_MIDDLE)
        slow(all.takeLast(each), STRAGGLE_MIDDLE, STRAGGLE_END)
    }

    private fun slow(
        servers: List<EngineModel>,
        from: Double,
        until: Double,
    ) {
        events.atSeconds(from) { servers.forEach { it.slowness = STRAGGLER_SLOWNESS } }
        events.atSeconds(until) { servers.forEach { it.slowness = 1.0 } }
    }

    private fun scheduleReclaim() {
        val lost =
            engines.values.filter {
                it.status.cheap && it.status.failureDomain == statuses.first().failureDomain
            }
        val ids = lost.map { it.status.id }.toSet()
        events.atSeconds(RECLAIM_NOTICE) {
            lost.flatMap { it.requests() }.forEach { it.request.reclaimed = true }
            announce(announced.map { if (it.id in ids) it.copy(leaving = true) else it })
        }
        events.atSeconds(RECLAIM) {
            reclaimed.addAll(ids)
            lost.flatMap { it.requests() }.forEach { it.request.reclaimed = true }
            lost.forEach { it.stop() }
        }
        events.atSeconds(RECLAIM_END) {
            reclaimed.removeAll(ids)
            lost.forEach { it.restart() }
            announce(statuses)
        }
    }

    private fun exchangeCrashes() {
        val sightings = ledgers.map { it.sightings() }
        ledgers.forEachIndexed { index, ledger ->
            sightings.forEachIndexed { from, seen -> if (from != index) ledger.merge(seen) }
        }
    }

    private companion object {
        /** Arrivals end at [Scenario.SECONDS]; the longest deadline passes before this. */
        const val END_SECONDS = 370.0
        const val TICK_MS = 100.0
        const val PEER_MS = 1_000.0
        const val CACHE_EVENT_MS = 2_000.0
        const val LOST_BATCHES = 0.1
        const val LOSS_SEED = 7_919L
        const val INVENTORY_MS = 3_000.0
        const val RESTART_MS = 15_000.0
        const val STRAGGLER_PART = 6
        const val STRAGGLER_SLOWNESS = 6.0
        const val STRAGGLE_START = 30.0
        const val STRAGGLE_MIDDLE = 95.0
        const val STRAGGLE_END = 160.0
        const val RECLAIM_NOTICE = 60.0
        const val RECLAIM = 65.0
        const val RECLAIM_END = 125.0
    }
}
