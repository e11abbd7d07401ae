package io.tarragonport.tool.bench

import io.tarragonport.api.backend.LoadReport
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.ServerStatus

/**
 * Simulates a model engine: continuous batching with a token budget per step, prefill and decode costs, priorities, a
 * bounded prefix cache, crashes and slow phases.
 */
class EngineModel(
    val status: ServerStatus,
    private val events: EventQueue,
) {
    private val queue = ArrayList<EngineAttempt>()
    private val running = ArrayList<EngineAttempt>()
    private var stepScheduled = false

    /** Incremented by [stop], so that steps scheduled before are ignored. */
    private var epoch = 0

    val cache = PrefixCache(EngineCosts.CACHE_CAPACITY_BLOCKS)

    /** Factor applied to step durations; greater than one while the engine is a straggler. */
    var slowdown = 1.0

    /** False after a crash or reclaim; requests are then rejected. */
    var up = true
        private set

    fun submit(attempt: EngineAttempt) {
        if (!up) {
            attempt.finished = true
            attempt.onEnd(DispatchOutcome.REJECTED, 0)
            return
        }
        queue += attempt
        if (!stepScheduled) step()
    }

    fun cancel(attempt: EngineAttempt) {
        if (attempt.finished) return
        end(attempt, DispatchOutcome.CANCELLED)
    }

    /** Stops the engine immediately and fails all its attempts. */
    fun stop() {
        up = false
        epoch++
        stepScheduled = false
        cache.clear()
        val interrupted = running + queue
        running.clear()
        queue.clear()
        interrupted.forEach { end(it, DispatchOutcome.FAILED) }
    }

    fun restart() {
        up = true
    }

    fun loadReport(ageMs: Long) = LoadReport(status.id, ageMs, running.size, queue.size)

    fun attempts(): List<EngineAttempt> = running + queue

    private fun step() {
        admit()
        if (running.isEmpty()) {
            stepScheduled = false
            return
        }
        stepScheduled = true
        val decoding = running.filter { it.remainingPrefillTokens == 0 }
        val prefillTokens = prefill(EngineCosts.MAXIMUM_STEP_TOKENS - decoding.size)
        val durationMs =
            EngineCosts.STEP_BASE_MS +
                decoding.size * EngineCosts.DECODE_MS_PER_REQUEST +
                prefillTokens * EngineCosts.PREFILL_MS_PER_TOKEN
        val scheduledEpoch = epoch
        events.after(durationMs * slowdown) { if (scheduledEpoch == epoch) finishStep(decoding) }
    }

    private fun admit() {
        while (running.size < status.slots && queue.isNotEmpty()) {
            val next = queue.minWith(compareBy({ it.request.tier }, { it.startedAtNanos }))
            queue.remove(next)
            running += next
            if (!next.admitted) applyPrefixCache(next)
        }
    }

    private fun applyPrefixCache(attempt: EngineAttempt) {
        attempt.admitted = true
        val cachedTokens = cache.hits(attempt.prefixBlocks) * EngineCosts.BLOCK_TOKENS
        attempt.remainingPrefillTokens = (attempt.remainingPrefillTokens - cachedTokens).coerceAtLeast(1)
        cache.store(attempt.prefixBlocks)
    }

    /** Prefills at most [budget] tokens in order of priority and returns the number of prefilled tokens. */
    private fun prefill(budget: Int): Int {
        var remaining = budget
        running
            .filter { it.remainingPrefillTokens > 0 }
            .sortedWith(compareBy({ it.request.tier }, { it.startedAtNanos }))
            .forEach { attempt ->
                val tokens = minOf(remaining, attempt.remainingPrefillTokens)
                remaining -= tokens
                attempt.remainingPrefillTokens -= tokens
                recordWork(attempt, tokens * EngineCosts.PREFILL_MS_PER_TOKEN, repeated = attempt.resumedTokens > 0)
            }
        return budget - remaining
    }

    private fun finishStep(decoding: List<EngineAttempt>) {
        decoding.forEach { attempt ->
            if (!attempt.finished) emitToken(attempt)
        }
        if (up) step()
    }

    private fun emitToken(attempt: EngineAttempt) {
        if (attempt.request.poison) {
            stop()
            return
        }
        attempt.generatedTokens++
        recordWork(attempt, EngineCosts.FULL_BATCH_DECODE_MS, repeated = false)
        attempt.onToken(attempt.generatedTokens)
        if (!attempt.finished && attempt.remainingOutputTokens <= 0) end(attempt, DispatchOutcome.COMPLETED)
    }

    private fun recordWork(
        attempt: EngineAttempt,
        work: Double,
        repeated: Boolean,
    ) {
        attempt.request.work += work
        if (status.cheap) attempt.request.cheapWork += work
        if (repeated) attempt.request.repeatedWork += work
    }

    private fun end(
        attempt: EngineAttempt,
        outcome: DispatchOutcome,
    ) {
        attempt.finished = true
        running.remove(attempt)
        queue.remove(attempt)
        attempt.onEnd(outcome, attempt.generatedTokens)
    }
}
