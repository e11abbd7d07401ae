package io.tarragonport.daemon.gateway.exchange

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.concurrent.ScheduledFuture
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.gateway.ForwardingMetadata
import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.ServiceId
import io.tarragonport.core.gateway.attempt.AttemptHistory
import io.tarragonport.core.gateway.attempt.AttemptOutcome
import io.tarragonport.core.gateway.balance.SelectionRequest
import io.tarragonport.core.gateway.balance.ServerChoice
import io.tarragonport.core.gateway.balance.TrackedServer
import io.tarragonport.core.gateway.route.RouteDecision
import io.tarragonport.daemon.gateway.egress.OutgoingRequest
import io.tarragonport.daemon.gateway.ingress.CallerChannel
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.daemon.gateway.ingress.RequestTarget
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One request from its admission to the end of its answer.
 *
 * The request waits until a server can take it, is sent, and is sent to another server only as [AttemptPolicy]
 * [io.tarragonport.core.gateway.attempt.AttemptPolicy] allows. Exactly one answer reaches the caller; once a part of a
 * stream has been passed on, a failure that cannot be repaired closes the caller's connection.
 */
internal class Exchange(
    private val state: TrafficState,
    private val request: CallerRequest,
    private val caller: CallerChannel,
    private val served: RouteDecision.Serve,
    val service: ServiceId,
) : RequestTarget,
    AttemptListener {
    private val route: GatewayRoute = served.route

    /** Rank among the requests that wait; 0 is served first. */
    val priority: Int get() = served.priority
    private val history = AttemptHistory()
    private val callerTimeout: Duration = request.metadata.callerTimeout ?: route.timeout
    private val deadline: ComparableTimeMark = request.receivedAt + minOf(callerTimeout, route.timeout)
    private val waitsUntil: ComparableTimeMark = request.receivedAt + waitLimit()
    private var attempt: Attempt? = null
    private var begun = false
    private var lastEventId: String? = request.metadata.resumeAfter
    private var done = false
    private var timeout: ScheduledFuture<*>? = null

    /** Begins to handle the request. */
    fun start() {
        state.budget(service).requestArrived()
        request.metadata.prompt?.let { state.prompts.add(service, route.name, it.promptTokens) }
        timeout = schedule(deadline - state.now(), ::timedOut)
        if (!dispatch()) waitForServer()
    }

    /** Tries again to send the waiting request; true if it no longer waits. */
    fun dispatchWaiting(): Boolean {
        if (!dispatch()) return false
        state.waiting.remove(this)
        return true
    }

    override fun callerDisconnected() {
        if (done) return
        finish("caller_gone")
        cancelAttempt()
    }

    override fun writable() {
        attempt?.setReading(true)
    }

    override fun answered(
        attempt: Attempt,
        answer: CompleteAnswer,
    ) {
        settle(attempt, succeeded = answer.status < FIRST_SERVER_ERROR)
        countRun(attempt)
        if (answer.status >= FIRST_SERVER_ERROR && retry(attempt, AttemptOutcome.FAILED, "status ${answer.status}")) {
            answer.body.release()
            return
        }
        finish("answered", "status" to answer.status, "server" to attempt.server.registered.id)
        caller.answer(
            answer.status,
            ForwardedHeaders.toCaller(
                answer.headers,
                withLength =
                    answer.body.readableBytes() == 0,
            ),
            answer.body,
        )
    }

    override fun events(
        attempt: Attempt,
        status: Int,
        headers: HttpHeaders,
        events: ByteArray,
    ) {
        if (!attempt.firstSeen) {
            attempt.firstSeen = true
            attempt.server.firstEvent(attempt.tokensToRead)
            attempt.sentAt?.let { attempt.server.health.succeeded(state.now() - it, state.now()) }
            countRun(attempt)
        }
        if (!begun) {
            begun = true
            caller.begin(status, ForwardedHeaders.toCaller(headers, withLength = false))
        }
        lastEventId = attempt.lastEventId ?: lastEventId
        caller.part(Unpooled.wrappedBuffer(events))
        if (!caller.writable) attempt.setReading(false)
    }

    override fun streamEnded(attempt: Attempt) {
        settle(attempt, succeeded = true)
        finish("streamed", "server" to attempt.server.registered.id, "last_event" to lastEventId)
        if (begun) caller.end() else refuse(ErrorKind.BACKEND_FAILED, null)
    }

    override fun failed(
        attempt: Attempt,
        outcome: AttemptOutcome,
        reason: String,
    ) {
        settle(attempt, succeeded = false)
        closeServer(attempt.server, outcome)
        if (outcome == AttemptOutcome.BROKEN && !attempt.server.registered.leaving) {
            state.crashes.record(request, attempt.server.registered.id)
        }
        if (retry(attempt, outcome, reason)) return
        finish("failed", "server" to attempt.server.registered.id, "reason" to reason, "sent" to history.sent)
        when {
            begun -> caller.abort()
            history.mayHaveExecuted > 0 -> refuse(ErrorKind.BACKEND_FAILED, null)
            else -> refuse(ErrorKind.NO_BACKEND_SERVER, RETRY_AFTER_NO_SERVER)
        }
    }

    private fun dispatch(): Boolean {
        val gatewayService = state.service(service) ?: return false
        val limit = state.connectionLimit(gatewayService)
        val choice =
            state.selector.choose(selection(), state.now()) {
                !history.contains(it.registered.id) && state.pools.of(it.registered).available(limit)
            } ?: return false
        send(choice)
        return true
    }

    private fun selection() =
        SelectionRequest(
            service,
            request.metadata.prompt,
            state.prompts.short(service, route.name),
            route.latencyObjective,
        )

    private fun send(choice: ServerChoice) {
        val server = choice.server
        val started = Attempt(choice, state.loop, route.repeatability.streams, attemptLimits(), this)
        attempt = started
        server.started(choice.tokensToRead)
        state.meter.sent(service, choice.tokensToRead)
        request.metadata.prompt?.let { server.cache.sent(it.sharedParts) }
        state.log.decision(
            GatewayEvents.SENT,
            request,
            "server" to server.registered.id,
            "score" to choice.score.toLong(),
            "candidates" to choice.candidates,
            "to_read" to choice.tokensToRead,
            "fetch_from" to choice.fetchFrom?.registered?.id,
            "in_flight" to server.inFlight,
            "configuration" to served.version,
        )
        started.start(state.pools.of(server.registered), { outgoing(choice) }, state::now)
    }

    private fun outgoing(choice: ServerChoice): OutgoingRequest {
        val left = deadline - state.now()
        val metadata =
            ForwardingMetadata(
                server = choice.server.registered.id,
                remaining = left,
                organisation = served.organisation,
                urgency = request.metadata.prompt?.let { served.priority.coerceIn(URGENCIES) },
                resumeAfter = lastEventId,
                fetchFrom = choice.fetchFrom?.registered?.address,
            )
        val headers = ForwardedHeaders.toServer(request, metadata)
        headers.set("Host", request.host)
        return OutgoingRequest(request.metadata.requestId, request.method, request.target, headers, request.body)
    }

    private fun attemptLimits(): AttemptLimits {
        if (!route.repeatability.repeatable) return AttemptLimits(null, null)
        val left = deadline - state.now()
        val first = maxOf(route.latencyObjective * SILENCE_OBJECTIVES, LEAST_SILENCE)
        val pause = route.maximumEventGap?.let { maxOf(it * SILENCE_PAUSES, LEAST_SILENCE) }
        return AttemptLimits(first.takeIf { it < left * MOST_OF_TIME_LEFT }, pause)
    }

    private fun waitForServer() {
        val left = waitsUntil - state.now()
        if (left <= Duration.ZERO) return noServer()
        state.await(this)
        schedule(left) { if (state.waiting.remove(this)) noServer() }
    }

    private fun noServer() {
        if (done) return
        finish("no_server", "sent" to history.sent)
        when {
            begun -> caller.abort()
            history.mayHaveExecuted > 0 -> refuse(ErrorKind.BACKEND_FAILED, null)
            else -> refuse(ErrorKind.NO_BACKEND_SERVER, RETRY_AFTER_NO_SERVER)
        }
    }

    private fun retry(
        attempt: Attempt,
        outcome: AttemptOutcome,
        reason: String,
    ): Boolean {
        history.record(attempt.server.registered.id, outcome)
        val left = deadline - state.now()
        val allowed = !state.crashes.holds(request) && state.policy(service).mayRetry(route, history, outcome, left)
        state.log.decision(
            GatewayEvents.ATTEMPT_FAILED,
            request,
            "server" to attempt.server.registered.id,
            "outcome" to outcome,
            "reason" to reason,
            "retried" to allowed,
            "left_ms" to left.inWholeMilliseconds,
        )
        if (!allowed) return false
        if (!dispatch()) waitForServer()
        return true
    }

    private fun timedOut() {
        if (done) return
        val sent = attempt?.sentAt != null || history.mayHaveExecuted > 0
        state.waiting.remove(this)
        finish("timed_out", "server" to attempt?.server?.registered?.id, "sent" to sent)
        cancelAttempt()
        when {
            begun -> caller.abort()
            sent -> refuse(ErrorKind.DEADLINE_EXCEEDED, null)
            else -> refuse(ErrorKind.DEADLINE_UNREACHABLE, null)
        }
    }

    private fun closeServer(
        server: TrackedServer,
        outcome: AttemptOutcome,
    ) {
        when (outcome) {
            AttemptOutcome.NOT_CONNECTED -> server.suspendUntil(state.now() + TrackedServer.UNREACHABLE_PAUSE)
            AttemptOutcome.NOT_RUN -> server.suspendUntil(state.now() + TrackedServer.FULL_PAUSE)
            else -> Unit
        }
    }

    private fun settle(
        ended: Attempt,
        succeeded: Boolean,
    ) {
        attempt = null
        if (!ended.firstSeen) ended.server.firstEvent(ended.tokensToRead)
        ended.server.ended()
        state.meter.ended(service)
        val now = state.now()
        when {
            !succeeded -> ended.server.health.failed(now)
            !ended.firstSeen -> ended.sentAt?.let { ended.server.health.succeeded(now - it, now) }
        }
        state.dispatchWaiting()
    }

    private fun cancelAttempt() {
        val running = attempt ?: return
        attempt = null
        running.cancel()
        if (!running.firstSeen) running.server.firstEvent(running.tokensToRead)
        running.server.ended()
        state.meter.ended(service)
    }

    private fun countRun(attempt: Attempt) {
        if (attempt.counted) return
        attempt.counted = true
        served.organisation?.let(state.meter::began)
    }

    private fun refuse(
        kind: ErrorKind,
        retryAfter: Duration?,
    ) {
        val ran = if (kind in MAY_HAVE_RUN) ExecutionStatus.UNKNOWN else ExecutionStatus.NO
        val refusal = RefusalAnswer.of(kind, ran, request.metadata.requestId, retryAfter)
        caller.answer(refusal.status, refusal.headers, refusal.body)
    }

    private fun finish(
        outcome: String,
        vararg fields: Pair<String, Any?>,
    ) {
        done = true
        timeout?.cancel(false)
        state.waiting.remove(this)
        val elapsed = (state.now() - request.receivedAt).inWholeMilliseconds
        state.log.ended(request, route.name, outcome, elapsed, *fields)
        request.body.release()
    }

    private fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): ScheduledFuture<*> = state.loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    private fun waitLimit(): Duration = minOf(callerTimeout, route.timeout) * WAIT_SHARE

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val URGENCIES = 0..9

        /** Answers that are given only after a server may have begun to run the request. */
        val MAY_HAVE_RUN = setOf(ErrorKind.BACKEND_FAILED, ErrorKind.DEADLINE_EXCEEDED)

        /** A repeatable request is given up at a silent server after this many latency objectives. */
        const val SILENCE_OBJECTIVES = 3

        /** A stream goes on at another server after this many of its longest pauses. */
        const val SILENCE_PAUSES = 3
        val LEAST_SILENCE: Duration = 800.milliseconds

        /** Beyond this share of the time left, another server could not answer in time either. */
        const val MOST_OF_TIME_LEFT = 0.6

        /** Share of a request's time that it may wait for a server before its caller is told to come back. */
        const val WAIT_SHARE = 0.25

        /** Servers that are full or away are back within about a second. */
        val RETRY_AFTER_NO_SERVER: Duration = 500.milliseconds
    }
}
