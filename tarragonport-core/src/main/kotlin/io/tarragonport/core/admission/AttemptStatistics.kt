package io.tarragonport.core.admission

import io.tarragonport.core.estimate.LengthEstimator
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.core.health.StragglerDetector

/** Updates length estimates, server speed, server health and crash records from the progress and end of attempts. */
internal class AttemptStatistics(
    private val estimator: LengthEstimator,
    private val detector: StragglerDetector,
    private val crashes: CrashHistory,
    private val preemptionCounts: PreemptionCounts,
) {
    /** [attempt] has generated [generatedTokens] tokens in total at [now]. */
    fun progressed(
        attempt: RunningRequest,
        generatedTokens: Int,
        now: Long,
    ) {
        val delta = generatedTokens - attempt.generatedTokens
        if (delta <= 0) return
        if (attempt.lastTokenAt == 0L) firstToken(attempt, now) else furtherTokens(attempt, delta, now)
        attempt.generatedTokens = generatedTokens
        attempt.lastTokenAt = now
    }

    /** [attempt] ended after [generatedTokens] tokens. */
    fun ended(
        attempt: RunningRequest,
        state: PoolState,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ) {
        val pending = attempt.waiting.request
        val health = attempt.server.health
        val poolHealth = state.serverPool.servers.map { it.health }
        if (outcome == DispatchOutcome.COMPLETED) {
            estimator.record(pending, attempt.waiting.route.estimate, pending.resumedTokens + generatedTokens)
        }
        if (outcome == DispatchOutcome.FAILED) {
            crashes.record(pending.fingerprint, attempt.server.status.id)
            attempt.server.cache.clear()
            detector.failed(health, poolHealth)
            // A count of at least one marks the request as started before when it is submitted again.
            preemptionCounts.record(pending.id, attempt.waiting.preemptions.coerceAtLeast(1))
        }
        detector.probeEnded(health, poolHealth, outcome == DispatchOutcome.COMPLETED)
    }

    private fun firstToken(
        attempt: RunningRequest,
        now: Long,
    ) {
        val waitMs = (now - attempt.startedAt) / NANOS_PER_MS
        attempt.serverPool.speed.prefillObserved(waitMs, attempt.uncachedTokens)
        if (attempt.waiting.route.long) return
        attempt.serverPool.speed.shortFirstTokenObserved(waitMs)
        detector.firstTokenObserved(attempt.server.health, waitMs, attempt.uncachedTokens)
    }

    private fun furtherTokens(
        attempt: RunningRequest,
        tokens: Int,
        now: Long,
    ) {
        val gapMs = (now - attempt.lastTokenAt) / NANOS_PER_MS / tokens
        attempt.serverPool.speed.tokenObserved(gapMs)
        detector.tokenObserved(attempt.server.health, gapMs)
    }

    private companion object {
        const val NANOS_PER_MS = 1e6
    }
}
