package io.tarragonport.daemon.gateway.egress

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.tarragonport.api.id.RequestId
import io.tarragonport.daemon.gateway.readAvailable
import io.tarragonport.platform.ResponseHeadCheck
import io.tarragonport.wire.ServerResponseHeaders
import java.io.IOException
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * One connection to a backend server, used for one request at a time.
 *
 * A server can send a late response to an earlier request where the response to the next one is expected. Such a
 * response is detected by its request id: it is read and dropped, the connection is not reused, and the expected
 * response may still follow. A response without the id fails the request, because nothing shows to which request it
 * belongs. Bytes that belong to no response are limited. A connection on which any byte has arrived after the end of a
 * response is closed, because the byte can be the beginning of a head that the next response would complete. A head that
 * consists of parts of two responses fails the request.
 */
internal class ServerConnection(
    private val decoder: ServerResponseDecoder,
    private val clock: TimeSource.WithComparableMarks,
    private val inputReceived: () -> Unit,
    private val onUnexpectedInput: () -> Unit,
    private val onReleased: (ServerConnection) -> Unit,
    private val onClosed: (ServerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var listener: ResponseListener? = null
    private var expectedId: RequestId? = null
    private var dropping = false
    private var droppedBytes = 0L
    private var droppedResponses = 0
    private var interimResponses = 0
    private var ended = false
    private var written = true
    private var reusable = true
    private var idleLimit: Duration = DEFAULT_IDLE_LIMIT
    private var idleSince: ComparableTimeMark? = null

    val channel: Channel get() = context.channel()

    /**
     * Whether a new request may be sent: the connection is open and the server's idle timeout is not about to expire.
     */
    val usable: Boolean
        get() {
            val idleStart = idleSince
            return channel.isActive &&
                reusable &&
                !decoder.unexpectedInput &&
                (idleStart == null || idleStart.elapsedNow() < idleLimit)
        }

    /** Whether the connection is open and read from, so that its end would be noticed. */
    val observed: Boolean get() = channel.isActive && reusable && channel.config().isAutoRead

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Sends [request] and passes its response to [listener]. */
    fun send(
        request: OutgoingRequest,
        listener: ResponseListener,
    ) {
        check(this.listener == null) { "the connection already has a request in flight" }
        this.listener = listener
        expectedId = request.id
        ended = false
        written = false
        droppedBytes = 0
        droppedResponses = 0
        interimResponses = 0
        idleSince = null
        decoder.headRequest = request.method == HttpMethod.HEAD
        decoder.requestSent()
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method,
                request.target,
                request.body.retainedDuplicate(),
                request.headers,
                EmptyHttpHeaders.INSTANCE,
            )
        context.writeAndFlush(message).addListener { result ->
            written = result.isSuccess
            if (result.isSuccess) releaseIfDone() else fail("request could not be sent: ${result.cause()?.message}")
        }
    }

    /** Reads what the server has sent, or its close, unless reading is paused. */
    fun readAvailable() {
        if (channel.config().isAutoRead) channel.readAvailable()
    }

    /** Cancels the request in flight by closing the connection, upon which the server stops processing it. */
    fun cancel() {
        listener = null
        reusable = false
        channel.close()
    }

    /**
     * Pauses or resumes reading from the server, for backpressure from the caller's connection. The connection is read
     * again once the response has ended.
     */
    fun setReading(reading: Boolean) {
        if (listener != null) channel.config().isAutoRead = reading
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        inputReceived()
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        releaseIfDone()
        if (listener == null && decoder.unexpectedInput) discardUnexpectedInput()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        if (!ended) fail("connection closed before the end of the response", closed = true)
        onClosed(this)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) = fail(cause.message ?: cause.javaClass.simpleName, closed = cause is IOException)

    private fun read(message: HttpObject) {
        decoder.partDecoded()
        val receiver = listener
        when {
            receiver == null || ended -> discardUnexpectedInput()
            message.decoderResult().isFailure -> decodingFailed(message.decoderResult().cause())
            else -> deliver(message, receiver)
        }
    }

    private fun decodingFailed(cause: Throwable) =
        fail("invalid response: ${cause.message}", closed = cause is PrematureChannelClosureException)

    private fun deliver(
        message: HttpObject,
        receiver: ResponseListener,
    ) {
        if (message is HttpResponse && !startResponse(message, receiver)) return
        if (message is HttpContent) {
            if (dropping) droppedBytes += message.content().readableBytes()
            if (droppedBytes >
                MAXIMUM_DROPPED_BYTES
            ) {
                return fail("responses to other requests exceed $MAXIMUM_DROPPED_BYTES bytes")
            }
            if (message.content().isReadable && !dropping && !receiver.bodyReceived(message.content())) return discard()
            if (message is LastHttpContent) responseEnded(receiver)
        }
    }

    private fun startResponse(
        response: HttpResponse,
        receiver: ResponseListener,
    ): Boolean {
        if (ResponseHeadCheck.isSpliced(response)) {
            fail("response head contains another status line")
            return false
        }
        if (response.status().code() !in STATUSES) {
            fail("status ${response.status().code()} does not exist")
            return false
        }
        if (response.status().code() < FIRST_FINAL_STATUS) {
            dropping = true
            if (++interimResponses >
                MAXIMUM_INTERIM_RESPONSES
            ) {
                fail("more than $MAXIMUM_INTERIM_RESPONSES interim responses")
            }
            return listener != null
        }
        val metadata = ServerResponseHeaders.decode(response.status().code()) { response.headers().get(it) }
        dropping = metadata.requestId != null && metadata.requestId != expectedId
        if (dropping) {
            reusable = false
            if (++droppedResponses > MAXIMUM_DROPPED_RESPONSES) {
                fail("more than $MAXIMUM_DROPPED_RESPONSES responses to other requests")
            }
            return listener != null
        }
        if (metadata.requestId != expectedId) {
            // It can belong to any earlier request on this connection, so it says nothing about this one.
            fail("response without the id of the request")
            return false
        }
        updateIdleLimit(response)
        if (receiver.responseStarted(response, metadata)) return true
        discard()
        return false
    }

    private fun responseEnded(receiver: ResponseListener) {
        if (dropping) {
            dropping = false
        } else {
            ended = true
            decoder.responseEnded()
            receiver.responseEnded()
        }
    }

    private fun updateIdleLimit(response: HttpResponse) {
        reusable = reusable &&
            HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        val announcedTimeout =
            response
                .headers()
                .get(
                    KEEP_ALIVE,
                )?.let { TIMEOUT.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
        idleLimit = announcedTimeout?.let { it.seconds - IDLE_MARGIN } ?: DEFAULT_IDLE_LIMIT
    }

    private fun releaseIfDone() {
        if (!ended || listener == null) return
        if (!written && reusable && !decoder.unexpectedInput) return
        setReading(true)
        listener = null
        idleSince = clock.markNow()
        when {
            decoder.unexpectedInput -> discardUnexpectedInput()
            reusable && channel.isActive -> onReleased(this)
            else -> channel.close()
        }
    }

    private fun discardUnexpectedInput() {
        if (!channel.isOpen) return
        onUnexpectedInput()
        discard()
    }

    private fun discard() {
        reusable = false
        listener = null
        channel.close()
    }

    private fun fail(
        reason: String,
        closed: Boolean = false,
    ) {
        val receiver = listener
        val unfinished = !ended
        reusable = false
        listener = null
        if (receiver != null && unfinished) {
            ended = true
            if (closed) receiver.connectionClosed(reason) else receiver.responseFailed(reason)
        }
        if (channel.isOpen) channel.close()
    }

    companion object {
        private val KEEP_ALIVE = HttpHeaderNames.KEEP_ALIVE
        private val TIMEOUT = Regex("timeout=(\\d+)")
        private val STATUSES = 100..599
        private const val FIRST_FINAL_STATUS = 200

        /** Servers send at most a few, such as progress notices. */
        private const val MAXIMUM_INTERIM_RESPONSES = 16

        /** Servers send a few copies at most. */
        private const val MAXIMUM_DROPPED_RESPONSES = 16

        /** As much as a complete response to another request can have. */
        private const val MAXIMUM_DROPPED_BYTES = 8L * 1024 * 1024

        /** Servers that announce no keep-alive timeout close idle connections within a second. */
        private val DEFAULT_IDLE_LIMIT: Duration = 400.milliseconds

        /** Margin before the announced timeout, so that a request arrives before the server closes the connection. */
        private val IDLE_MARGIN: Duration = 400.milliseconds
    }
}
