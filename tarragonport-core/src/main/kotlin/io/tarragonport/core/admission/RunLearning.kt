package io.tarragonport.core.admission

import io.tarragonport.core.estimate.LengthEstimator
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.core.health.StragglerDetector

/** Learns lengths, speeds, stragglers and crashes from the progress and the end of runs. */
internal class RunLearning(
    private val estimator: LengthEstimator,
    private val detector: StragglerDetector,
    private val crashes: CrashHistory,
    private val paused: PausedRequests,
) {
    /** [run] has generated [generatedTokens] tokens at [now]. */
    fun progressed(
        run: RunningRequest,
        generatedTokens: Int,
        now: Long,
    ) {
        val delta = generatedTokens - run.generated
        if (delta <= 0) return
        if (run.lastTokenAt == 0L) firstToken(run, now) else furtherTokens(run, delta, now)
        run.generated = generatedTokens
        run.lastTokenAt = now
    }

    /** [run] ended after [generatedTokens] tokens. */
    fun ended(
        run: RunningRequest,
        state: PoolState,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ) {
        val pending = run.waiting.request
        val health = run.server.health
        val poolHealth = state.servers.servers.map { it.health }
        if (outcome == DispatchOutcome.COMPLETED) {
            estimator.record(pending, run.waiting.route.estimate, pending.resumedTokens + generatedTokens)
        }
        if (outcome == DispatchOutcome.FAILED) {
            crashes.record(pending.fingerprint, run.server.status.id)
            run.server.cache.clear()
            detector.failed(health, poolHealth)
            paused.paused(pending.id, run.waiting.preemptions.coerceAtLeast(1))
        }
        detector.probeEnded(health, poolHealth, outcome == DispatchOutcome.COMPLETED)
    }

    private fun firstToken(
        run: RunningRequest,
        now: Long,
    ) {
        val waitMs = (now - run.startedAt) / NANOS_PER_MS
        run.pool.speed.firstTokenObserved(waitMs, run.uncachedTokens)
        if (run.waiting.route.long) return
        run.pool.speed.shortFirstTokenObserved(waitMs)
        detector.firstTokenObserved(run.server.health, waitMs, run.uncachedTokens)
    }

    private fun furtherTokens(
        run: RunningRequest,
        tokens: Int,
        now: Long,
    ) {
        val gapMs = (now - run.lastTokenAt) / NANOS_PER_MS / tokens
        run.pool.speed.tokenObserved(gapMs)
        detector.tokenObserved(run.server.health, gapMs)
    }

    private companion object {
        const val NANOS_PER_MS = 1e6
    }
}
