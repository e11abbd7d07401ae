package io.tarragonport.daemon.gateway.exchange

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.concurrent.ScheduledFuture
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.ServiceId
import io.tarragonport.core.gateway.attempt.AttemptHistory
import io.tarragonport.core.gateway.attempt.AttemptOutcome
import io.tarragonport.core.gateway.balance.SelectionRequest
import io.tarragonport.core.gateway.balance.ServerChoice
import io.tarragonport.core.gateway.route.RouteDecision
import io.tarragonport.core.gateway.waiting.QueuedRequest
import io.tarragonport.daemon.gateway.ingress.CallerChannel
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.daemon.gateway.ingress.InFlightRequest
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * One request from its admission to the end of its response.
 *
 * The request is queued until a server has capacity and is then sent. It is sent to another server only if
 * [io.tarragonport.core.gateway.attempt.AttemptPolicy] permits a retry. Exactly one response is sent to the caller;
 * after part of a stream has been sent, a failure that cannot be retried closes the caller's connection.
 */
internal class Exchange(
    private val state: TrafficState,
    private val request: CallerRequest,
    private val fingerprints: CrashFingerprints,
    private val caller: CallerChannel,
    private val decision: RouteDecision.Serve,
    override val service: ServiceId,
) : InFlightRequest,
    QueuedRequest,
    AttemptListener {
    private val route: GatewayRoute = decision.route

    override val priority: Int get() = decision.priority
    override val organisation get() = decision.organisation
    override val session get() =
        request.metadata.prompt
            ?.parts
            ?.lastOrNull()
            ?.id
    override val work get() = request.metadata.prompt?.work ?: 1.0
    private val history = AttemptHistory()
    private val callerTimeout: Duration = request.metadata.callerTimeout ?: route.timeout
    private val deadline: ComparableTimeMark = request.receivedAt + minOf(callerTimeout, route.timeout)
    private val queueDeadline: ComparableTimeMark =
        request.receivedAt + (deadline - request.receivedAt) * MAXIMUM_QUEUE_SHARE
    private val feedback = ServerFeedback(state, request, route.latencyObjective)
    private var attempt: Attempt? = null
    private var responseStarted = false
    private var lastEventId: String? = request.metadata.resumeAfter
    private var done = false
    private var lastChance = false
    private var timeout: ScheduledFuture<*>? = null

    /** Starts handling the request. */
    fun start() {
        state.budget(service).requestArrived()
        request.metadata.prompt?.let { state.prompts.add(service, route.name, it.promptTokens) }
        timeout = schedule(deadline - state.now(), ::timedOut)
        askLoads(::submit)
    }

    /** Asks for the load at the servers that are compared for the request, then calls [then] unless it has ended. */
    fun askLoads(then: () -> Unit = {}) = state.askLoads(selection()) { if (!done) then() }

    override val excludesServers: Boolean get() = history.sent + history.notConnected > 0

    override fun callerDisconnected() {
        if (done) return
        finish("caller_gone")
        cancelAttempt()
    }

    override fun callerWritable() {
        attempt?.setReading(true)
    }

    override fun serverLeaving(attempt: Attempt) {
        if (!state.serverTable.announceLeaving(attempt.server)) return
        state.log.decision(GatewayEvents.SERVER_LEAVING, request, "server" to attempt.server.registered.id)
    }

    override fun serverPausing(
        attempt: Attempt,
        pause: Duration,
    ) = feedback.paused(attempt.server, pause)

    override fun responseReceived(
        attempt: Attempt,
        response: CompleteResponse,
    ) {
        if (response.status in SUCCESS) state.crashes.succeeded(fingerprints)
        completeAttempt(attempt, succeeded = response.status < FIRST_SERVER_ERROR)
        countAsUsage(attempt)
        val reason = "status ${response.status}"
        if ((responseStarted || response.status >= FIRST_SERVER_ERROR) &&
            retry(attempt, AttemptOutcome.FAILED, reason)
        ) {
            response.body.release()
            return
        }
        if (responseStarted) {
            response.body.release()
            finish("failed", "server" to attempt.server.registered.id, "reason" to reason, "sent" to history.sent)
            return caller.abort()
        }
        finish("answered", "status" to response.status, "server" to attempt.server.registered.id)
        caller.respond(
            response.status,
            ForwardedHeaders.toCaller(response.headers, withLength = !response.body.isReadable),
            response.body,
        )
    }

    override fun eventsReceived(
        attempt: Attempt,
        status: Int,
        headers: HttpHeaders,
        events: ByteArray,
    ) {
        if (!attempt.firstEventForwarded) {
            attempt.firstEventForwarded = true
            attempt.server.recordFirstEvent(attempt.tokensToProcess)
            state.loadsChanged()
            attempt.sentAt?.let { feedback.responded(attempt.server, state.now() - it) }
            countAsUsage(attempt)
        }
        if (!responseStarted) {
            responseStarted = true
            caller.startResponse(status, ForwardedHeaders.toCaller(headers, withLength = false))
        }
        lastEventId = attempt.lastEventId ?: lastEventId
        caller.writeBytes(Unpooled.wrappedBuffer(events))
        if (!caller.writable) attempt.setReading(false)
    }

    override fun streamEnded(attempt: Attempt) {
        // A stream that ends with its connection can be one whose server has crashed.
        if (attempt.firstEventForwarded && !attempt.endsWithConnection) state.crashes.succeeded(fingerprints)
        completeAttempt(attempt, succeeded = true)
        finish("streamed", "server" to attempt.server.registered.id, "last_event" to lastEventId)
        if (responseStarted) caller.endResponse() else respondWithError(ErrorKind.BACKEND_FAILED, null)
    }

    override fun expired(attempt: Attempt) = timedOut()

    override fun failed(
        attempt: Attempt,
        outcome: AttemptOutcome,
        reason: String,
    ) {
        // The end of the attempt lets queued requests run, which may have the same prompt part.
        if (outcome == AttemptOutcome.CLOSED && !attempt.server.leaving) {
            state.crashDetector.connectionClosed(request, fingerprints, attempt.server)
        }
        completeAttempt(attempt, succeeded = false)
        feedback.failed(attempt.server, outcome)
        if (retry(attempt, outcome, reason)) return
        finish("failed", "server" to attempt.server.registered.id, "reason" to reason, "sent" to history.sent)
        endWithoutServer()
    }

    override fun dispatch(): Boolean {
        if (endIfBlocked()) return true
        val gatewayService = state.service(service) ?: return false
        val limit = state.connectionLimit(gatewayService)
        val waited = state.now() - request.receivedAt
        val longestWait = if (lastChance) null else state.longestWait(route, priority, service, waited)
        val choice =
            state.selector.choose(selection(longestWait), state.now()) {
                !history.contains(it.registered.id) && state.pools.of(it).available(limit)
            } ?: return false
        send(choice)
        return true
    }

    private fun endIfBlocked(): Boolean {
        val blocking = state.crashes.blocking(fingerprints) ?: return false
        state.log.decision(GatewayEvents.REQUEST_BLOCKED, request, "fingerprint" to blocking, "sent" to history.sent)
        finish("blocked", "sent" to history.sent)
        if (responseStarted) {
            caller.abort()
        } else {
            respondWithError(ErrorKind.BACKEND_FAILED, null, mayHaveExecuted = history.mayHaveExecuted > 0)
        }
        return true
    }

    private fun selection(longestWait: Duration? = null) =
        SelectionRequest(
            service,
            request.metadata.prompt,
            state.prompts.hasShortPrompts(service, route.name),
            route.latencyObjective,
            longestWait,
        )

    private fun send(choice: ServerChoice) {
        val server = choice.server
        val limits = AttemptLimits.of(route, deadline - state.now())
        val streams = route.repeatability.streams
        val newAttempt = Attempt(choice, state.loop, streams, limits, state.responseBuffers, state::now, this)
        attempt = newAttempt
        server.recordSent(choice.tokensToProcess)
        server.pace.sent(state.now())
        state.loadsChanged()
        state.returns(service).sent()
        state.usage.requestSent(service, choice.tokensToProcess)
        request.metadata.prompt?.let { server.cache.sent(it.sharedParts) }
        state.log.decision(
            GatewayEvents.SENT,
            request,
            "server" to server.registered.id,
            "score" to choice.score.toLong(),
            "candidates" to choice.candidates,
            "to_read" to choice.tokensToProcess,
            "fetch_from" to choice.fetchFrom?.registered?.id,
            "in_flight" to server.inFlight,
            "configuration" to decision.version,
        )
        newAttempt.start(state.pools.of(server), deadline) {
            ForwardedRequest.of(request, decision, choice, deadline - state.now(), lastEventId)
        }
    }

    private fun submit() {
        val remaining = queueDeadline - state.now()
        if (remaining <= Duration.ZERO) {
            if (!dispatch()) failWithoutServer()
            return
        }
        state.submit(this)
        if (this !in state.queue) return
        state.log.decision(GatewayEvents.REQUEST_WAITS, request, "priority" to priority, "queued" to state.queue.size)
        schedule(remaining) { if (state.queue.remove(this)) waitedLongest() }
    }

    /** Sends the request however long the prompts at the servers are, and refuses it if no server may get it. */
    private fun waitedLongest() {
        lastChance = true
        if (!dispatch()) failWithoutServer()
    }

    private fun failWithoutServer() {
        if (done) return
        finish("no_server", "sent" to history.sent)
        endWithoutServer()
    }

    private fun retry(
        attempt: Attempt,
        outcome: AttemptOutcome,
        reason: String,
    ): Boolean {
        history.record(attempt.server.registered.id, outcome)
        val remaining = deadline - state.now()
        val allowed =
            state.crashes.blocking(fingerprints) == null &&
                state.policy(service).mayRetry(route, history, outcome, remaining)
        state.log.decision(
            GatewayEvents.ATTEMPT_FAILED,
            request,
            "server" to attempt.server.registered.id,
            "outcome" to outcome,
            "reason" to reason,
            "retried" to allowed,
            "left_ms" to remaining.inWholeMilliseconds,
        )
        if (!allowed) return false
        submit()
        return true
    }

    private fun timedOut() {
        if (done) return
        val sent = attempt?.sentAt != null || history.mayHaveExecuted > 0
        state.queue.remove(this)
        finish("timed_out", "server" to attempt?.server?.registered?.id, "sent" to sent)
        cancelAttempt()
        endWithoutResult(sent, ErrorKind.DEADLINE_EXCEEDED, ErrorKind.DEADLINE_UNREACHABLE, null)
    }

    override fun processEnding() {
        if (done) return
        val sent = attempt?.sentAt != null || history.mayHaveExecuted > 0
        finish("process_ended", "server" to attempt?.server?.registered?.id, "sent" to sent)
        cancelAttempt()
        endWithoutResult(sent, ErrorKind.BACKEND_FAILED, ErrorKind.DRAINING, Duration.ZERO)
    }

    /** Responds with [unknown] if a server may have run the request, otherwise with [notRun]. */
    private fun endWithoutResult(
        mayHaveRun: Boolean,
        unknown: ErrorKind,
        notRun: ErrorKind,
        retryAfter: Duration?,
    ) = when {
        responseStarted -> caller.abort()
        mayHaveRun -> respondWithError(unknown, null)
        else -> respondWithError(notRun, retryAfter)
    }

    private fun endWithoutServer() =
        endWithoutResult(
            history.mayHaveExecuted > 0,
            ErrorKind.BACKEND_FAILED,
            ErrorKind.NO_BACKEND_SERVER,
            state.returns(service).next(),
        )

    private fun completeAttempt(
        ended: Attempt,
        succeeded: Boolean,
    ) {
        release(ended)
        val now = state.now()
        if (!succeeded) ended.server.health.failed(now)
        if (succeeded && !ended.firstEventForwarded) {
            ended.sentAt?.let { feedback.responded(ended.server, now - it) }
        }
        state.dispatchQueued()
    }

    private fun cancelAttempt() {
        val running = attempt ?: return
        running.cancel()
        release(running)
    }

    private fun release(ended: Attempt) {
        attempt = null
        if (!ended.firstEventForwarded) ended.server.recordFirstEvent(ended.tokensToProcess)
        ended.server.recordEnd()
        state.loadsChanged()
        state.usage.requestEnded(service)
    }

    private fun countAsUsage(attempt: Attempt) {
        if (attempt.countedAsUsage) return
        attempt.countedAsUsage = true
        decision.organisation?.let(state.usage::requestStarted)
    }

    private fun respondWithError(
        kind: ErrorKind,
        retryAfter: Duration?,
        mayHaveExecuted: Boolean = kind in MAY_HAVE_EXECUTED,
    ) {
        val executionStatus = if (mayHaveExecuted) ExecutionStatus.UNKNOWN else ExecutionStatus.NO
        val errorResponse = ErrorResponse.of(kind, executionStatus, request.metadata.requestId, retryAfter)
        caller.respond(errorResponse.status, errorResponse.headers, errorResponse.body)
    }

    private fun finish(
        outcome: String,
        vararg fields: Pair<String, Any?>,
    ) {
        done = true
        timeout?.cancel(false)
        state.queue.remove(this)
        val elapsed = (state.now() - request.receivedAt).inWholeMilliseconds
        state.log.ended(request, route.name, outcome, elapsed, *fields)
        request.body.release()
    }

    private fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): ScheduledFuture<*> = state.loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_SERVER_ERROR = 500

        /** Errors that are returned only after a server may have started to run the request. */
        val MAY_HAVE_EXECUTED = setOf(ErrorKind.BACKEND_FAILED, ErrorKind.DEADLINE_EXCEEDED)

        /** Share of a request's total time that it may be queued before it is refused with a `Retry-After` header. */
        const val MAXIMUM_QUEUE_SHARE = 0.25
    }
}
