package io.tarragonport.tool.bench

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchPolicy
import io.tarragonport.core.admission.PendingRequest

/**
 * Simulates one VM: applies the decisions of its policy instance to the engine models, repeats failed and
 * preempted attempts, and cancels attempts at the deadline of their request.
 */
class BenchVm(
    val policy: DispatchPolicy,
    private val engines: Map<BackendServerId, EngineModel>,
    private val events: EventQueue,
    private val clock: VirtualClock,
    private val metrics: BenchMetrics,
) {
    private val requests = HashMap<RequestId, BenchRequest>()
    private val pending = HashMap<RequestId, PendingRequest>()
    private val attempts = HashMap<RequestId, EngineAttempt>()
    private val preemptedRequests = HashSet<RequestId>()
    private var sequence = 0L

    fun arrive(request: BenchRequest) {
        requests[request.original.id] = request
        metrics.arrived(request)
        submit(request.original)
    }

    fun perform(decisions: List<DispatchDecision>) = decisions.forEach { perform(it) }

    private fun submit(request: PendingRequest) {
        pending[request.id] = request
        perform(policy.submit(request))
    }

    private fun perform(decision: DispatchDecision) {
        when (decision) {
            is DispatchDecision.Start -> start(decision)
            is DispatchDecision.Refuse -> refuse(decision)
            is DispatchDecision.Preempt -> preempt(decision)
        }
    }

    private fun start(decision: DispatchDecision.Start) {
        val request = requests.getValue(decision.request)
        val pendingRequest = checkNotNull(pending.remove(decision.request)) { "${decision.request} was started twice" }
        val engine = engines.getValue(decision.server)
        request.attempts++
        metrics.started(request)
        sequence++
        val attempt =
            EngineAttempt(
                request,
                pendingRequest.prefixBlocks,
                pendingRequest.resumedTokens,
                clock.nanos,
                onToken = { generatedTokens -> tokenArrived(request, generatedTokens) },
                onEnd = { outcome, generatedTokens ->
                    attemptEnded(request, pendingRequest, decision.server, outcome, generatedTokens)
                },
            )
        attempts[decision.request] = attempt
        events.after(NETWORK_DELAY_MS) { if (!attempt.finished) engine.submit(attempt) }
        val msUntilDeadline = (request.deadlineAt - clock.nanos) / VirtualClock.NANOS_PER_MS
        events.after(msUntilDeadline.coerceAtLeast(NETWORK_DELAY_MS)) { if (!attempt.finished) engine.cancel(attempt) }
    }

    private fun refuse(decision: DispatchDecision.Refuse) {
        val request = requests.getValue(decision.request)
        checkNotNull(pending.remove(decision.request)) { "${decision.request} was refused while it was not queued" }
        val isTierInversion = decision.error.kind == ErrorKind.OVERLOADED && hasPendingRequestOfLowerTier(request.tier)
        metrics.refused(request, decision.error.kind, isTierInversion)
        requests.remove(decision.request)
    }

    private fun hasPendingRequestOfLowerTier(tier: Int): Boolean =
        pending.values.any { it.requestClass.tier.value > tier }

    private fun preempt(decision: DispatchDecision.Preempt) {
        preemptedRequests += decision.request
        val attempt = attempts[decision.request] ?: return
        val engine = engines.getValue(decision.server)
        events.after(NETWORK_DELAY_MS) {
            if (engine.up) engine.cancel(attempt)
        }
    }

    private fun tokenArrived(
        request: BenchRequest,
        generatedTokens: Int,
    ) {
        metrics.tokenArrived(request)
        policy.progressed(request.original.id, generatedTokens)
    }

    private fun attemptEnded(
        request: BenchRequest,
        pendingRequest: PendingRequest,
        server: BackendServerId,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ) {
        attempts.remove(pendingRequest.id)
        val wasPreempted = preemptedRequests.remove(pendingRequest.id)
        perform(policy.finished(pendingRequest.id, outcome, generatedTokens))
        when {
            outcome == DispatchOutcome.COMPLETED -> complete(request)
            clock.nanos >= request.deadlineAt -> fail(request)
            outcome == DispatchOutcome.CANCELLED && wasPreempted ->
                submit(
                    pendingRequest.copy(resumedTokens = request.deliveredTokens),
                )
            request.attempts < MAXIMUM_ATTEMPTS -> retry(request, pendingRequest, server)
            else -> fail(request)
        }
    }

    private fun complete(request: BenchRequest) {
        metrics.completed(request)
        requests.remove(request.original.id)
    }

    private fun retry(
        request: BenchRequest,
        pendingRequest: PendingRequest,
        server: BackendServerId,
    ) = submit(
        pendingRequest.copy(
            resumedTokens = request.deliveredTokens,
            failedServers = pendingRequest.failedServers + server,
        ),
    )

    private fun fail(request: BenchRequest) {
        metrics.failed(request)
        requests.remove(request.original.id)
    }

    private companion object {
        /** One-way delay between a VM and a server. */
        const val NETWORK_DELAY_MS = 0.5

        /** Number of attempts after which the caller gets an error; the same for every policy. */
        const val MAXIMUM_ATTEMPTS = 6
    }
}
