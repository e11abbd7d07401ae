package io.tarragonport.daemon.gateway.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.util.concurrent.ScheduledFuture
import io.tarragonport.api.gateway.ResponseMetadata
import io.tarragonport.core.gateway.attempt.AttemptOutcome
import io.tarragonport.core.gateway.balance.ServerChoice
import io.tarragonport.core.gateway.balance.TrackedServer
import io.tarragonport.core.gateway.overload.BufferBudget
import io.tarragonport.core.gateway.overload.BufferHolder
import io.tarragonport.core.gateway.stream.EventSplitter
import io.tarragonport.daemon.gateway.egress.OutgoingRequest
import io.tarragonport.daemon.gateway.egress.ResponseListener
import io.tarragonport.daemon.gateway.egress.ServerConnection
import io.tarragonport.daemon.gateway.egress.ServerConnectionPool
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Sends one request to one backend server and validates the response.
 *
 * Reports exactly one result: a complete response, the end of a stream or a failure. A success status without the
 * server's signature or with an encoded body, a truncated response, a stream that ends inside an event and one that ends
 * with its connection before the first event are failures.
 */
internal class Attempt(
    private val choice: ServerChoice,
    private val loop: EventLoop,
    private val expectsStream: Boolean,
    private val limits: AttemptLimits,
    private val buffers: BufferBudget,
    private val now: () -> ComparableTimeMark,
    private val listener: AttemptListener,
) : ResponseListener,
    BufferHolder {
    val server: TrackedServer get() = choice.server
    val tokensToProcess: Int get() = choice.tokensToProcess

    /** Id of the last complete event of the stream. */
    val lastEventId: String? get() = splitter.lastId

    /** Time at which the request was sent; null before that. */
    var sentAt: ComparableTimeMark? = null
        private set

    /** Whether the first event has been passed to the caller. */
    var firstEventForwarded = false

    /** Whether the response has neither a length nor chunks. */
    val endsWithConnection: Boolean
        get() =
            response.let { it != null && !HttpUtil.isContentLengthSet(it) && !HttpUtil.isTransferEncodingChunked(it) }

    /** Whether the request has been counted as usage. */
    var countedAsUsage = false

    private val splitter = EventSplitter()
    private var connection: ServerConnection? = null
    private var response: HttpResponse? = null
    private var body: ByteBuf? = null
    private var streaming = false
    private var notExecuted = false
    private var finished = false
    private var heldBytes = 0
    private var timeout: ScheduledFuture<*>? = null
    private var timeoutAt: ComparableTimeMark? = null

    /**
     * Acquires a connection from [connections], then calls [buildRequest] and sends its result. A request whose
     * [deadline] has passed by then is not sent, because a delayed traffic thread may run this before the timer.
     */
    fun start(
        connections: ServerConnectionPool,
        deadline: ComparableTimeMark,
        buildRequest: () -> OutgoingRequest,
    ) = connections.acquire { opened ->
        when {
            opened == null -> {
                fail(AttemptOutcome.NOT_CONNECTED, "connection could not be opened")
            }

            finished -> {
                opened.cancel()
            }

            deadline <= now() -> {
                opened.cancel()
                finish()
                listener.expired(this)
            }

            else -> {
                connection = opened
                sentAt = now()
                opened.send(buildRequest(), this)
                restartTimeout(limits.responseTimeout)
            }
        }
    }

    /** Cancels the attempt without notifying the listener; the server stops when its connection closes. */
    fun cancel() {
        finished = true
        cleanUp()
        connection?.cancel()
    }

    /** Pauses or resumes reading from the server, for backpressure from the caller's connection. */
    fun setReading(reading: Boolean) {
        connection?.setReading(reading)
    }

    override fun responseStarted(
        response: HttpResponse,
        metadata: ResponseMetadata,
    ): Boolean {
        this.response = response
        val status = response.status().code()
        notExecuted = metadata.notExecuted
        val success = status in SUCCESS
        if (success && (metadata.signature == null || metadata.encoded)) {
            fail(AttemptOutcome.BROKEN, "success response without signature or with encoded body")
            return false
        }
        if (status in NOT_RUN_STATUSES && !notExecuted && metadata.signature == null) {
            fail(AttemptOutcome.BROKEN, "unsigned status $status that does not state that the request was not run")
            return false
        }
        if (metadata.leaving) listener.serverLeaving(this)
        metadata.pause?.let { listener.serverPausing(this, it) }
        streaming = success && expectsStream && isEventStream(response)
        if (!streaming) body = Unpooled.buffer()
        return true
    }

    override fun bodyReceived(bytes: ByteBuf): Boolean = if (streaming) addToStream(bytes) else addToBody(bytes)

    override fun responseEnded() {
        if (finished) return
        when {
            notExecuted -> {
                fail(AttemptOutcome.NOT_RUN, "status ${response?.status()?.code()}")
            }

            streaming && splitter.unfinished -> {
                fail(AttemptOutcome.BROKEN, "stream ended inside an event")
            }

            streaming && !firstEventForwarded && endsWithConnection -> {
                fail(AttemptOutcome.BROKEN, "stream ended with its connection before the first event")
            }

            streaming -> {
                finish()
                listener.streamEnded(this)
            }

            else -> {
                responseReceived()
            }
        }
    }

    override fun connectionClosed(reason: String) = fail(AttemptOutcome.CLOSED, reason)

    override fun responseFailed(reason: String) = fail(AttemptOutcome.BROKEN, reason)

    private fun responseReceived() {
        val head = checkNotNull(response) { "response ended before its headers" }
        val content = body ?: Unpooled.EMPTY_BUFFER
        body = null
        finish()
        listener.responseReceived(this, CompleteResponse(head.status().code(), head.headers(), content))
    }

    private fun addToStream(bytes: ByteBuf): Boolean {
        val events = splitter.add(ByteBufUtil.getBytes(bytes))
        if (!hold(splitter.pendingBytes)) return false
        if (splitter.oversized) {
            fail(AttemptOutcome.BROKEN, "event exceeds ${EventSplitter.MAX_EVENT_BYTES} bytes")
            return false
        }
        if (events == null) return true
        restartTimeout(limits.eventTimeout)
        val head = checkNotNull(response) { "events arrived before the response headers" }
        listener.eventsReceived(this, head.status().code(), head.headers(), events)
        return !finished
    }

    private fun addToBody(bytes: ByteBuf): Boolean {
        val collected = body ?: return false
        if (collected.readableBytes() + bytes.readableBytes() > limits.bodyBytes) {
            fail(AttemptOutcome.BROKEN, "response body exceeds ${limits.bodyBytes} bytes")
            return false
        }
        collected.writeBytes(bytes)
        return hold(collected.readableBytes())
    }

    /** Records that the attempt buffers [bytes]; returns false if it had to discard them. */
    private fun hold(bytes: Int): Boolean {
        if (bytes != heldBytes) {
            heldBytes = bytes
            buffers.update(this, bytes)
        }
        return !finished
    }

    override fun discardBuffered() {
        heldBytes = 0
        if (finished) return
        fail(AttemptOutcome.BROKEN, "too many bytes of incomplete responses are buffered")
        connection?.cancel()
    }

    private fun isEventStream(response: HttpResponse): Boolean =
        response
            .headers()
            .get(HttpHeaderNames.CONTENT_TYPE)
            .orEmpty()
            .startsWith("text/event-stream")

    /** Sets the time limit for the next event; the timer is kept, because most limits are moved long before they end. */
    private fun restartTimeout(limit: Duration?) {
        timeoutAt = limit?.let { now() + it }
        if (limit != null && timeout == null) scheduleTimeout(limit)
    }

    private fun scheduleTimeout(delay: Duration) {
        timeout = loop.schedule(::timedOut, delay.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    private fun timedOut() {
        // Input that has arrived moves the limit, or ends the attempt.
        connection?.readAvailable()
        timeout = null
        val end = timeoutAt
        if (finished || end == null) return
        val remaining = end - now()
        if (remaining > Duration.ZERO) return scheduleTimeout(remaining)
        fail(AttemptOutcome.SILENT, "silence")
        connection?.cancel()
    }

    private fun fail(
        outcome: AttemptOutcome,
        reason: String,
    ) {
        if (finished) return
        finish()
        listener.failed(this, outcome, reason)
    }

    private fun finish() {
        finished = true
        cleanUp()
    }

    private fun cleanUp() {
        timeout?.cancel(false)
        hold(0)
        body?.release()
        body = null
    }

    private companion object {
        val SUCCESS = 200..299

        /** Statuses that tell a caller that its request has not run and never will. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
