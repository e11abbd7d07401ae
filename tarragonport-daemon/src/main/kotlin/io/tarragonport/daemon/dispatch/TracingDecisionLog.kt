package io.tarragonport.daemon.dispatch

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.PendingRequest

/** Writes one log line for each routing decision and adds it to [traces]. */
class TracingDecisionLog(
    private val traces: DecisionTraces,
) : DecisionLog {
    private val logger = KotlinLogging.logger {}

    override fun decided(
        request: PendingRequest,
        decision: DispatchDecision,
    ) = when (decision) {
        is DispatchDecision.Start ->
            record(
                RequestEvents.STARTED,
                request,
                decision.server.value,
                decision.candidates.map { it.value },
                decision.reason,
            )

        is DispatchDecision.Refuse ->
            record(RequestEvents.REFUSED, request, decision.error.kind.code, emptyList(), decision.error.message)

        is DispatchDecision.Preempt ->
            record(RequestEvents.PREEMPTED, request, decision.server.value, emptyList(), "for ${decision.beneficiary}")
    }

    override fun failed(
        request: PendingRequest,
        server: BackendServerId,
        failure: String,
        decision: String,
    ) = record(RequestEvents.RUN_FAILED, request, server.value, emptyList(), "$failure; $decision")

    override fun crashed(
        request: PendingRequest,
        server: BackendServerId,
    ) = record(RequestEvents.CRASH, request, server.value, emptyList(), "suspect ${request.fingerprint}")

    /** Adds the outcome to the trace for `explain`; ends of requests are not logged. */
    override fun ended(
        request: PendingRequest,
        outcome: String,
    ) = traces.add(request, entry(RequestEvents.ENDED, request, outcome, emptyList(), ""))

    private fun record(
        event: LogEvent,
        request: PendingRequest,
        choice: String,
        candidates: List<String>,
        reason: String,
    ) {
        traces.add(request, entry(event, request, choice, candidates, reason))
        logger.at(Level.INFO) {
            message = event.name
            payload =
                mapOf(
                    "event" to event.number,
                    "request" to request.id.value,
                    "class" to request.requestClass.id.value,
                    "organisation" to request.organisation.value,
                    "candidates" to candidates.joinToString(","),
                    "choice" to choice,
                    "reason" to reason,
                )
        }
    }

    private fun entry(
        event: LogEvent,
        request: PendingRequest,
        choice: String,
        candidates: List<String>,
        reason: String,
    ) = TraceEntry(request.arrival.elapsedNow().inWholeMilliseconds, event.name, choice, candidates, reason)
}
