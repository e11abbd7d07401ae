package io.tarragonport.tool.bench

import io.tarragonport.api.backend.LoadReport
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.ServerStatus

/**
 * A model engine: continuous batching with a token budget per step, prefill and decode cost, priorities, a limited
 * prefix cache, crashes and slow phases.
 */
class EngineModel(
    val status: ServerStatus,
    private val events: EventQueue,
) {
    private val waiting = ArrayList<EngineRun>()
    private val running = ArrayList<EngineRun>()
    private var stepping = false
    private var generation = 0

    val cache = PrefixCache(EngineCosts.CACHE_BLOCKS)

    /** Multiplies step times; above one while the engine straggles. */
    var slowness = 1.0

    /** False after a crash or reclaim: everything sent is rejected. */
    var up = true
        private set

    fun submit(run: EngineRun) {
        if (!up) {
            run.over = true
            run.ended(DispatchOutcome.REJECTED, 0)
            return
        }
        waiting += run
        if (!stepping) step()
    }

    fun cancel(run: EngineRun) {
        if (run.over) return
        end(run, DispatchOutcome.CANCELLED)
    }

    /** The engine stops at once; every request at it fails. */
    fun stop() {
        up = false
        generation++
        stepping = false
        cache.clear()
        val lost = running + waiting
        running.clear()
        waiting.clear()
        lost.forEach { end(it, DispatchOutcome.FAILED) }
    }

    fun restart() {
        up = true
    }

    fun report(ageMs: Long) = LoadReport(status.id, ageMs, running.size, waiting.size)

    fun requests(): List<EngineRun> = running + waiting

    private fun step() {
        admit()
        if (running.isEmpty()) {
            stepping = false
            return
        }
        stepping = true
        val decoding = running.filter { it.prefillLeft == 0 }
        val prefilled = prefill(EngineCosts.STEP_TOKENS - decoding.size)
        val duration =
            EngineCosts.STEP_MS + decoding.size * EngineCosts.DECODE_MS + prefilled * EngineCosts.PREFILL_MS_PER_TOKEN
        val started = generation
        events.after(duration * slowness) { if (started == generation) finishStep(decoding) }
    }

    private fun admit() {
        while (running.size < status.slots && waiting.isNotEmpty()) {
            val next = waiting.minWith(compareBy({ it.request.tier }, { it.sequence }))
            waiting.remove(next)
            running += next
            if (!next.admitted) useCache(next)
        }
    }

    private fun useCache(run: EngineRun) {
        run.admitted = true
        val found = cache.hits(run.blocks) * EngineCosts.BLOCK_TOKENS
        run.prefillLeft = (run.prefillLeft - found).coerceAtLeast(1)
        cache.store(run.blocks)
    }

    /** Spends [budget] tokens on prefills in order of priority; returns the tokens spent. */
    private fun prefill(budget: Int): Int {
        var left = budget
        running
            .filter { it.prefillLeft > 0 }
            .sortedWith(compareBy({ it.request.tier }, { it.sequence }))
            .forEach { run ->
                val tokens = minOf(left, run.prefillLeft)
                left -= tokens
                run.prefillLeft -= tokens
                account(run, tokens * EngineCosts.PREFILL_MS_PER_TOKEN, repeated = run.resumedTokens > 0)
            }
        return budget - left
    }

    private fun finishStep(decoding: List<EngineRun>) {
        decoding.forEach { run ->
            if (!run.over) emitToken(run)
        }
        if (up) step()
    }

    private fun emitToken(run: EngineRun) {
        if (run.request.poison) {
            stop()
            return
        }
        run.generated++
        account(run, EngineCosts.FULL_BATCH_DECODE_MS, repeated = false)
        run.tokenArrived(run.generated)
        if (!run.over && run.outputLeft <= 0) end(run, DispatchOutcome.COMPLETED)
    }

    private fun account(
        run: EngineRun,
        work: Double,
        repeated: Boolean,
    ) {
        run.request.work += work
        if (status.cheap) run.request.cheapWork += work
        if (repeated) run.request.repeatedWork += work
    }

    private fun end(
        run: EngineRun,
        outcome: DispatchOutcome,
    ) {
        run.over = true
        running.remove(run)
        waiting.remove(run)
        run.ended(outcome, run.generated)
    }
}
