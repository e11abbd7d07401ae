package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.gateway.CallerLimits
import io.tarragonport.daemon.gateway.exchange.RefusalAnswer
import io.tarragonport.wire.RequestHeaders
import java.util.ArrayDeque
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One connection of a caller: reads requests one after the other and writes their answers in the same order.
 *
 * While a request is handled, reading goes on so that a closed connection is noticed; further requests wait in
 * [waiting], and reading pauses when more than [WAITING_BYTES] are held. Every answer that ends the connection is
 * followed by the end of the sending side only, because closing with unread bytes would reset the connection and could
 * take the answer with it.
 */
internal class CallerConnection(
    private val limits: CallerLimits,
    private val encoder: AnswerEncoder,
    private val intake: RequestHandler,
) : ChannelInboundHandlerAdapter(),
    CallerChannel {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<HttpObject>()
    private var waitingBytes = 0L
    private var reading: PartialRequest? = null
    private var target: RequestTarget? = null
    private var answering = false
    private var keepAlive = true
    private var chunked = true
    private var closing = false
    private var headArriving = false
    private var requests = 0L
    private var timer: ScheduledFuture<*>? = null

    override val writable: Boolean get() = context.channel().isWritable

    /** Whether the connection holds no request and none has begun to arrive. */
    val idle: Boolean get() = !answering && reading == null && waiting.isEmpty() && !closing

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        intake.opened(this)
        startTimer(limits.idleTimeout) { closeGracefully() }
    }

    /** Bytes arrived; the first ones of a head start its timeout, and later ones do not extend it. */
    fun bytesArrived() {
        if (!idle || headArriving) return
        headArriving = true
        startTimer(limits.headerTimeout) { refuse(ErrorKind.CALLER_TOO_SLOW) }
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message !is HttpObject || closing) {
            ReferenceCountUtil.release(message)
        } else if (answering) {
            queue(message)
        } else {
            take(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        stopTimer()
        closing = true
        answering = false
        target?.callerDisconnected()
        target = null
        reading?.body?.release()
        reading = null
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        intake.closed(this)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (writable) target?.writable()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        intake.connectionFailed(cause)
        ctx.close()
    }

    /** Closes the connection if it is idle, and after the current answer otherwise. */
    fun finish() {
        keepAlive = false
        if (idle) closeGracefully()
    }

    override fun answer(
        status: Int,
        headers: HttpHeaders,
        body: ByteBuf,
    ) {
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body)
        response.headers().add(headers)
        if (!HttpUtil.isContentLengthSet(response)) HttpUtil.setContentLength(response, body.readableBytes().toLong())
        setConnection(response)
        context.write(response)
        answered()
    }

    override fun begin(
        status: Int,
        headers: HttpHeaders,
    ) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        if (chunked) HttpUtil.setTransferEncodingChunked(response, true) else keepAlive = false
        setConnection(response)
        context.write(response)
    }

    override fun part(bytes: ByteBuf) {
        context.writeAndFlush(DefaultHttpContent(bytes))
    }

    override fun end() {
        context.write(LastHttpContent.EMPTY_LAST_CONTENT)
        answered()
    }

    override fun abort() {
        target = null
        closing = true
        context.close()
    }

    private fun queue(message: HttpObject) {
        waiting.add(message)
        if (message is HttpContent) waitingBytes += message.content().readableBytes()
        if (waitingBytes > WAITING_BYTES ||
            waiting.size > WAITING_OBJECTS
        ) {
            context.channel().config().isAutoRead = false
        }
    }

    private fun take(message: HttpObject) {
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) {
            try {
                content(message)
            } finally {
                message.release()
            }
        }
    }

    private fun begin(request: HttpRequest) {
        stopTimer()
        headArriving = false
        val checked = HeadCheck.check(request)
        keepAlive = keepAlive && HttpUtil.isKeepAlive(request)
        chunked = request.protocolVersion() == HttpVersion.HTTP_1_1
        encoder.answersHead = request.method() == HttpMethod.HEAD
        checked.fold(
            { refuse(it) },
            { host ->
                reading = PartialRequest(request, host, BodyAssembler(limits.bodyBytes))
                if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes) {
                    refuse(ErrorKind.BODY_TOO_LARGE)
                } else if (HttpUtil.is100ContinueExpected(request)) {
                    context.writeAndFlush(
                        DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER,
                        ),
                    )
                }
            },
        )
    }

    private fun content(content: HttpContent) {
        val partial = reading ?: return
        when {
            content.decoderResult().isFailure -> refuse(ErrorKind.INVALID_REQUEST)
            !partial.body.add(content.content()) -> refuse(ErrorKind.BODY_TOO_LARGE)
            content is LastHttpContent -> complete(partial)
            else -> startTimer(limits.headerTimeout) { refuse(ErrorKind.CALLER_TOO_SLOW) }
        }
    }

    private fun complete(partial: PartialRequest) {
        stopTimer()
        reading = null
        RequestHeaders.decode { partial.request.headers().getAll(it) }.fold(
            { refuse(ErrorKind.INVALID_REQUEST) },
            { metadata ->
                answering = true
                val request =
                    CallerRequest(
                        partial.request.method(),
                        partial.request.uri(),
                        partial.host,
                        partial.request.headers(),
                        partial.body.take(),
                        metadata,
                        intake.now(),
                    )
                val number = ++requests
                val handling = intake.handle(request, this)
                // A request that was answered at once may already have been followed by the next one.
                if (answering && number == requests) target = handling
            },
        )
    }

    private fun setConnection(response: HttpResponse) {
        keepAlive = keepAlive && !intake.draining
        if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun answered() {
        context.flush()
        target = null
        answering = false
        if (!keepAlive) return closeGracefully()
        startTimer(limits.idleTimeout) { closeGracefully() }
        while (!answering && !closing && waiting.isNotEmpty()) {
            val next = waiting.poll()
            if (next is HttpContent) waitingBytes -= next.content().readableBytes()
            take(next)
        }
        if (waiting.isEmpty() && !closing) context.channel().config().isAutoRead = true
    }

    private fun refuse(kind: ErrorKind) {
        stopTimer()
        intake.malformed(kind, reading?.request)
        reading?.body?.release()
        reading = null
        keepAlive = false
        val refusal = RefusalAnswer.of(kind, ExecutionStatus.NO, null, null)
        answer(refusal.status, refusal.headers, refusal.body)
    }

    private fun closeGracefully() {
        stopTimer()
        closing = true
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        val channel = context.channel() as SocketChannel
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(
            ChannelFutureListener {
                channel.shutdownOutput()
                context.executor().schedule({ channel.close() }, LINGER.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            },
        )
        channel.config().isAutoRead = true
    }

    private fun startTimer(
        duration: Duration,
        action: () -> Unit,
    ) {
        stopTimer()
        timer = context.executor().schedule(action, duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun stopTimer() {
        timer?.cancel(false)
        timer = null
    }

    private companion object {
        /** Bytes of pipelined requests held for one connection: a few ordinary prompts. */
        const val WAITING_BYTES = 131_072L
        const val WAITING_OBJECTS = 64

        /** Time for the caller to see the end of the answer and close its side; a round trip takes milliseconds. */
        val LINGER: Duration = 1.seconds
    }
}
