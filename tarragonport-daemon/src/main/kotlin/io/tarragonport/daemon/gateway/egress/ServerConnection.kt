package io.tarragonport.daemon.gateway.egress

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
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
import io.tarragonport.wire.ServerResponseHeaders
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * One connection to a backend server, used for one request at a time.
 *
 * A server can answer an earlier request late, where the answer to the next one is expected. Such an answer is known by
 * its request id: it is read and dropped, the connection is not used again, and the awaited answer may still follow.
 * The connection goes back to its pool only when everything that has arrived is decoded, so that bytes after an answer
 * cannot be taken for the answer to the next request.
 */
internal class ServerConnection(
    private val decoder: AnswerDecoder,
    private val clock: TimeSource.WithComparableMarks,
    private val released: (ServerConnection) -> Unit,
    private val closed: (ServerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var listener: ReplyListener? = null
    private var expected: RequestId? = null
    private var dropping = false
    private var ended = false
    private var written = true
    private var reusable = true
    private var idleLimit: Duration = UNANNOUNCED_IDLE_LIMIT
    private var idleSince: ComparableTimeMark? = null

    val channel: Channel get() = context.channel()

    /** Whether a new request may be sent: the server has not closed the connection and is not about to. */
    val fresh: Boolean
        get() {
            val since = idleSince
            return channel.isActive && reusable && (since == null || since.elapsedNow() < idleLimit)
        }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Sends [request]; its answer goes to [listener]. */
    fun send(
        request: OutgoingRequest,
        listener: ReplyListener,
    ) {
        check(this.listener == null) { "the connection already carries a request" }
        this.listener = listener
        expected = request.id
        ended = false
        written = false
        idleSince = null
        decoder.answersHead = request.method == HttpMethod.HEAD
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
            if (result.isSuccess) releaseIfDone() else broken("sending failed: ${result.cause()?.message}")
        }
    }

    /** Ends the request under way; the server stops working on it when the connection closes. */
    fun cancel() {
        listener = null
        reusable = false
        channel.close()
    }

    /** Stops or resumes reading while the caller does not take more bytes. */
    fun setReading(reading: Boolean) {
        channel.config().isAutoRead = reading
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        releaseIfDone()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        if (!ended) broken("connection closed")
        closed(this)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) = broken(cause.message ?: cause.javaClass.simpleName)

    private fun read(message: HttpObject) {
        val receiver = listener
        when {
            message.decoderResult().isFailure -> broken("unreadable answer: ${message.decoderResult().cause().message}")
            receiver == null || ended -> discard()
            else -> deliver(message, receiver)
        }
    }

    private fun deliver(
        message: HttpObject,
        receiver: ReplyListener,
    ) {
        if (message is HttpResponse && !began(message, receiver)) return
        if (message is HttpContent) {
            if (message.content().isReadable && !dropping && !receiver.replyPart(message.content())) return discard()
            if (message is LastHttpContent) replyEnded(receiver)
        }
    }

    private fun began(
        response: HttpResponse,
        receiver: ReplyListener,
    ): Boolean {
        if (response.status().code() < FIRST_FINAL_STATUS) {
            dropping = true
            return true
        }
        val metadata = ServerResponseHeaders.decode(response.status().code()) { response.headers().get(it) }
        dropping = metadata.requestId != null && metadata.requestId != expected
        if (dropping) {
            reusable = false
            return true
        }
        noteIdleLimit(response)
        if (receiver.replyBegan(response, metadata)) return true
        discard()
        return false
    }

    private fun replyEnded(receiver: ReplyListener) {
        if (dropping) {
            dropping = false
        } else {
            ended = true
            receiver.replyEnded()
        }
    }

    private fun noteIdleLimit(response: HttpResponse) {
        reusable = reusable &&
            HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        val announced =
            response
                .headers()
                .get(
                    KEEP_ALIVE,
                )?.let { TIMEOUT.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
        idleLimit = announced?.let { it.seconds - IDLE_MARGIN } ?: UNANNOUNCED_IDLE_LIMIT
    }

    private fun releaseIfDone() {
        if (!ended || listener == null) return
        if (!written && reusable) return
        listener = null
        idleSince = clock.markNow()
        if (reusable && channel.isActive) released(this) else channel.close()
    }

    private fun discard() {
        reusable = false
        listener = null
        channel.close()
    }

    private fun broken(reason: String) {
        val receiver = listener
        val unfinished = !ended
        reusable = false
        listener = null
        if (receiver != null && unfinished) {
            ended = true
            receiver.replyBroken(reason)
        }
        if (channel.isOpen) channel.close()
    }

    companion object {
        private val KEEP_ALIVE = HttpHeaderNames.KEEP_ALIVE
        private val TIMEOUT = Regex("timeout=(\\d+)")
        private const val FIRST_FINAL_STATUS = 200

        /** A server that announces no timeout closes idle connections within a second. */
        private val UNANNOUNCED_IDLE_LIMIT: Duration = 400.milliseconds

        /** A request has to arrive before the server closes the connection. */
        private val IDLE_MARGIN: Duration = 400.milliseconds
    }
}
