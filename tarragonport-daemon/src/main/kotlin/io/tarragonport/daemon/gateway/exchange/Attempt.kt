package io.tarragonport.daemon.gateway.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import io.tarragonport.api.gateway.ResponseMetadata
import io.tarragonport.core.gateway.attempt.AttemptOutcome
import io.tarragonport.core.gateway.balance.ServerChoice
import io.tarragonport.core.gateway.balance.TrackedServer
import io.tarragonport.core.gateway.stream.EventSplitter
import io.tarragonport.daemon.gateway.egress.OutgoingRequest
import io.tarragonport.daemon.gateway.egress.ReplyListener
import io.tarragonport.daemon.gateway.egress.ServerConnection
import io.tarragonport.daemon.gateway.egress.ServerConnections
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Sends one request to one backend server and checks what comes back.
 *
 * Reports exactly one end: a complete answer, the end of a stream or a failure. A success without the server's
 * signature, an encoded body, an answer cut short or a stream that stops inside an event is a failure.
 */
internal class Attempt(
    private val choice: ServerChoice,
    private val loop: EventLoop,
    private val streams: Boolean,
    private val limits: AttemptLimits,
    private val listener: AttemptListener,
) : ReplyListener {
    val server: TrackedServer get() = choice.server
    val tokensToRead: Int get() = choice.tokensToRead

    /** The last whole event of the stream. */
    val lastEventId: String? get() = splitter.lastId

    /** When the request was sent; null before that. */
    var sentAt: ComparableTimeMark? = null
        private set

    /** Whether the first event has been passed on. */
    var firstSeen = false

    /** Whether the run has been counted as usage. */
    var counted = false

    private val splitter = EventSplitter()
    private var connection: ServerConnection? = null
    private var response: HttpResponse? = null
    private var body: ByteBuf? = null
    private var streaming = false
    private var notRun = false
    private var finished = false
    private var silence: ScheduledFuture<*>? = null

    /** Opens a connection from [connections] and sends what [request] builds when it is open. */
    fun start(
        connections: ServerConnections,
        request: () -> OutgoingRequest,
        now: () -> ComparableTimeMark,
    ) = connections.acquire { opened ->
        when {
            opened == null -> {
                fail(AttemptOutcome.NOT_CONNECTED, "no connection")
            }

            finished -> {
                opened.cancel()
            }

            else -> {
                connection = opened
                sentAt = now()
                opened.send(request(), this)
                expectWithin(limits.firstAnswer)
            }
        }
    }

    /** Ends the attempt without a report; the server stops when its connection closes. */
    fun cancel() {
        finished = true
        cleanUp()
        connection?.cancel()
    }

    /** Stops or resumes reading while the caller does not take more bytes. */
    fun setReading(reading: Boolean) {
        connection?.setReading(reading)
    }

    override fun replyBegan(
        response: HttpResponse,
        metadata: ResponseMetadata,
    ): Boolean {
        this.response = response
        val status = response.status().code()
        notRun = metadata.notRun
        val success = status in SUCCESS
        if (success && (metadata.signature == null || metadata.encoded)) {
            fail(AttemptOutcome.BROKEN, "unsigned or encoded success")
            return false
        }
        streaming = success && streams && isEventStream(response)
        if (!streaming) body = Unpooled.buffer()
        return true
    }

    override fun replyPart(bytes: ByteBuf): Boolean = if (streaming) streamPart(bytes) else bodyPart(bytes)

    override fun replyEnded() {
        if (finished) return
        when {
            notRun -> {
                fail(AttemptOutcome.NOT_RUN, "status ${response?.status()?.code()}")
            }

            streaming && splitter.unfinished -> {
                fail(AttemptOutcome.BROKEN, "the stream ended inside an event")
            }

            streaming -> {
                finish()
                listener.streamEnded(this)
            }

            else -> {
                answered()
            }
        }
    }

    override fun replyBroken(reason: String) = fail(AttemptOutcome.BROKEN, reason)

    private fun answered() {
        val head = checkNotNull(response) { "an answer ended before it began" }
        val content = body ?: Unpooled.EMPTY_BUFFER
        body = null
        finish()
        listener.answered(this, CompleteAnswer(head.status().code(), head.headers(), content))
    }

    private fun streamPart(bytes: ByteBuf): Boolean {
        val events = splitter.add(ByteBufUtil.getBytes(bytes)) ?: return true
        expectWithin(limits.pause)
        val head = checkNotNull(response) { "events arrived before the head of the answer" }
        listener.events(this, head.status().code(), head.headers(), events)
        return !finished
    }

    private fun bodyPart(bytes: ByteBuf): Boolean {
        val collected = body ?: return false
        if (collected.readableBytes() + bytes.readableBytes() > limits.bodyBytes) {
            fail(AttemptOutcome.BROKEN, "answer of more than ${limits.bodyBytes} bytes")
            return false
        }
        collected.writeBytes(bytes)
        return true
    }

    private fun isEventStream(response: HttpResponse): Boolean =
        response
            .headers()
            .get(HttpHeaderNames.CONTENT_TYPE)
            .orEmpty()
            .startsWith("text/event-stream")

    private fun expectWithin(limit: Duration?) {
        silence?.cancel(false)
        silence = limit?.let { loop.schedule(::silent, it.inWholeMilliseconds, TimeUnit.MILLISECONDS) }
    }

    private fun silent() {
        if (finished) return
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
        silence?.cancel(false)
        body?.release()
        body = null
    }

    private companion object {
        val SUCCESS = 200..299
    }
}
