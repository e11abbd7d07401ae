package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
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
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.gateway.CallerLimits
import io.tarragonport.daemon.gateway.exchange.ErrorResponse
import io.tarragonport.daemon.gateway.readAvailable
import io.tarragonport.wire.RequestHeaders
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One connection of a caller: reads requests one after the other and writes their responses in the same order.
 *
 * While a request is handled, reading continues so that a closed connection is detected. Pipelined requests wait in
 * [waiting]. What the connection holds counts in [buffers]: if all callers hold too much, an incomplete request is
 * refused, or the connection of a caller that does not read is closed. After the last response only the output side is
 * shut down at first, because closing a socket with unread bytes resets the connection and can discard the response.
 */
internal class CallerConnection(
    private val limits: CallerLimits,
    private val encoder: CallerResponseEncoder,
    private val requestHandler: RequestHandler,
) : ChannelInboundHandlerAdapter(),
    CallerChannel,
    InputGate {
    private lateinit var context: ChannelHandlerContext
    private lateinit var waiting: WaitingInput
    private lateinit var timer: InputTimer
    private lateinit var unread: UnreadOutput
    private val buffers = CallerBuffers(requestHandler.buffers, ::discardBuffered)
    private var partialRequest: PartialRequest? = null

    /** A complete request that is handled once everything that has arrived is read, including the caller's close. */
    private var completeRequest: PartialRequest? = null
    private var reading = false

    /** The request whose response is not complete. */
    var inFlightRequest: InFlightRequest? = null
        private set

    private var handlingRequest = false
    private var keepAlive = true

    /** Whether the connection is to be closed as soon as every request that has arrived on it is answered. */
    private var stopping = false

    /** Whether the current response tells the caller that the connection is closed after it. */
    private var closeAnnounced = false
    private var chunkedAllowed = true
    private var closing = false
    private var refused = false

    /** Null before the decision, and once it has been reported that input was discarded after it. */
    private var closeDecision: CloseDecision? = null
    private var receivingHead = false
    private var requestCount = 0L

    /** Number of the request that was passed on and has no complete response; 0 if there is none. */
    private var unansweredRequest = 0L

    override val writable: Boolean get() = context.channel().isWritable

    override val open: Boolean get() = !closing && waiting.open

    override val discarding: Boolean get() = closing

    /** Whether no request is being handled or received, none waits, and the connection is not closing. */
    val idle: Boolean
        get() = !handlingRequest && !receivingHead && partialRequest == null && waiting.isEmpty && !closing

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        val decoder = ctx.pipeline().get(StrictRequestDecoder::class.java)
        val accepting = { partialRequest != null || (!handlingRequest && writable) }
        waiting = WaitingInput(ctx, decoder, buffers, accepting, ::continueReceiving)
        decoder.gate = this
        timer = InputTimer(ctx) { handlingRequest || closing || waiting.awaitsTurn }
        unread = UnreadOutput(ctx.channel())
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        requestHandler.inputReceived()
        requestHandler.opened(this)
        timer.start(limits.idleTimeout, ::closeIdle)
    }

    /** Starts the header timeout with the first of the [bytes] of a request head; later ones do not extend it. */
    fun bytesReceived(bytes: Int) {
        requestHandler.inputReceived()
        if (receivingHead || idle) buffers.headReceived(bytes)
        if (!idle) return
        receivingHead = true
        timer.start(limits.headerTimeout) { refuse(ErrorKind.CALLER_TOO_SLOW) }
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        reading = true
        if (message !is HttpObject || closing) {
            ReferenceCountUtil.release(message)
            inputDiscarded()
        } else {
            waiting.decoded(message)
            process(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        waiting.roundEnded()
        readingEnded()
    }

    private fun readingEnded() {
        reading = false
        // The close of the connection is reported after this call, so the request is handled by a later task.
        if (completeRequest != null) context.executor().execute(::handleCompleteRequest)
    }

    /** What has arrived is decoded as far as possible now. */
    fun bytesDecoded() {
        if (!closing) waiting.update()
    }

    /** Receives what has arrived and waits, if the connection is ready for it. */
    private fun continueReceiving() {
        waiting.resume()
        readingEnded()
        if (closing || handlingRequest) return
        if (partialRequest == null && (receivingHead || !waiting.incomplete)) return
        receivingHead = partialRequest == null
        if (receivingHead || !timer.running) timer.start(limits.headerTimeout) { refuse(ErrorKind.CALLER_TOO_SLOW) }
    }

    override fun inputDiscarded() {
        val decision = closeDecision ?: return
        closeDecision = null
        requestHandler.inputDiscarded(decision.reason, requestHandler.arrivalTime() - decision.time)
    }

    private fun handleCompleteRequest() {
        val complete = completeRequest ?: return
        completeRequest = null
        handle(complete)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer.stop()
        completeRequest?.body?.release()
        completeRequest = null
        closing = true
        handlingRequest = false
        inFlightRequest?.callerDisconnected()
        inFlightRequest = null
        partialRequest?.body?.release()
        partialRequest = null
        buffers.clear()
        requestHandler.closed(this)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (writable) inFlightRequest?.callerWritable()
        if (writable) buffers.unread(0)
        if (writable) continueReceiving()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        requestHandler.connectionFailed(cause)
        ctx.close()
    }

    /**
     * Closes the connection now if it is idle, otherwise once all requests that have arrived are answered. Returns
     * whether it is being closed now.
     */
    fun closeWhenIdle(): Boolean {
        stopping = true
        if (!idle) return false
        context.channel().readAvailable()
        if (!idle) return closing
        closeIdle()
        return true
    }

    override fun respond(
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
        responseSent()
    }

    override fun startResponse(
        status: Int,
        headers: HttpHeaders,
    ) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        if (chunkedAllowed) HttpUtil.setTransferEncodingChunked(response, true) else keepAlive = false
        setConnection(response)
        context.write(response)
    }

    override fun writeBytes(bytes: ByteBuf) {
        context.writeAndFlush(DefaultHttpContent(bytes))
    }

    override fun endResponse() {
        context.write(LastHttpContent.EMPTY_LAST_CONTENT)
        responseSent()
    }

    override fun abort() {
        inFlightRequest = null
        closing = true
        // Without chunks, the end of the connection is the end of the response, and only a reset shows a failure.
        if (!chunkedAllowed) context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        context.close()
    }

    private fun process(message: HttpObject) {
        if (message is HttpRequest) receiveHead(message)
        if (message is HttpContent) {
            try {
                receiveContent(message)
            } finally {
                message.release()
            }
        }
    }

    private fun receiveHead(request: HttpRequest) {
        timer.stop()
        receivingHead = false
        buffers.headComplete(request)
        val checked = HeadCheck.check(request)
        keepAlive = keepAlive && HttpUtil.isKeepAlive(request)
        chunkedAllowed = request.protocolVersion() == HttpVersion.HTTP_1_1
        encoder.headRequest = request.method() == HttpMethod.HEAD
        checked.fold(
            { refuse(it) },
            { host ->
                partialRequest = PartialRequest(request, host, BodyAssembler(limits.bodyBytes))
                val length = HttpUtil.getContentLength(request, 0L)
                if (length > 0 || HttpUtil.isTransferEncodingChunked(request)) {
                    timer.start(limits.headerTimeout) { refuse(ErrorKind.CALLER_TOO_SLOW) }
                }
                if (length > limits.bodyBytes) {
                    refuse(ErrorKind.BODY_TOO_LARGE)
                } else if (HttpUtil.is100ContinueExpected(request)) {
                    context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
                }
            },
        )
    }

    private fun receiveContent(content: HttpContent) {
        val partial = partialRequest ?: return
        buffers.bodyHeld(partial.body.heldBytes + content.content().readableBytes())
        when {
            partialRequest == null -> Unit
            content.decoderResult().isFailure -> refuse(ErrorKind.INVALID_REQUEST)
            !partial.body.add(content.content()) -> refuse(ErrorKind.BODY_TOO_LARGE)
            content is LastHttpContent -> complete(partial)
            else -> timer.start(limits.headerTimeout) { refuse(ErrorKind.CALLER_TOO_SLOW) }
        }
    }

    /** Gives up what is held of an incomplete request or an unread response, because all callers hold too much. */
    private fun discardBuffered() {
        val incomplete = partialRequest != null || receivingHead
        if (incomplete && !closing) refuse(ErrorKind.OVERLOADED) else context.close()
    }

    private fun complete(partial: PartialRequest) {
        timer.stop()
        partialRequest = null
        handlingRequest = true
        buffers.requestComplete()
        if (reading) completeRequest = partial else handle(partial)
    }

    private fun handle(partial: PartialRequest) {
        RequestHeaders.decode { partial.request.headers().getAll(it) }.fold(
            { refuse(ErrorKind.INVALID_REQUEST) },
            { metadata ->
                val request = partial.complete(metadata, requestHandler.arrivalTime())
                val requestNumber = ++requestCount
                unansweredRequest = requestNumber
                val startedRequest = requestHandler.handle(request, this)
                // The response may already be complete, and the next request may have been decoded.
                if (unansweredRequest == requestNumber) inFlightRequest = startedRequest
            },
        )
    }

    private fun setConnection(response: HttpResponse) {
        closeAnnounced = !keepAlive || ((stopping || requestHandler.draining) && !pipelined())
        if (closeAnnounced) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    /** Whether another request has arrived behind the current one. */
    private fun pipelined(): Boolean {
        if (waiting.isEmpty) context.channel().readAvailable()
        return !waiting.isEmpty
    }

    private fun responseSent() {
        context.flush()
        unansweredRequest = 0
        inFlightRequest = null
        handlingRequest = false
        receivingHead = false
        buffers.requestEnded()
        if (!writable) buffers.unread(context.channel().bytesBeforeWritable())
        if (closeAnnounced) return closeGracefully(CloseReason.RESPONSE_COMPLETE)
        unread.reset()
        timer.start(limits.idleTimeout, ::closeIdle)
        continueReceiving()
        if (stopping) closeWhenIdle()
    }

    private fun refuse(kind: ErrorKind) {
        timer.stop()
        requestHandler.malformed(kind, partialRequest?.request)
        partialRequest?.body?.release()
        partialRequest = null
        keepAlive = false
        refused = true
        val errorResponse = ErrorResponse.of(kind, ExecutionStatus.NO, null, null)
        respond(errorResponse.status, errorResponse.headers, errorResponse.body)
    }

    /** A request that arrives from now on stays unread, so that its caller may send it again. */
    private fun closeIdle() {
        if (!unread.isEmpty) {
            if (unread.progressed()) timer.start(limits.idleTimeout, ::closeIdle) else context.close()
            return
        }
        closeGracefully(CloseReason.IDLE)
        context.channel().config().isAutoRead = false
    }

    private fun closeGracefully(reason: CloseReason) {
        timer.stop()
        closing = true
        waiting.resume()
        // After a refusal, the rest of the refused request is expected.
        if (!refused) closeDecision = CloseDecision(reason, requestHandler.arrivalTime())
        val channel = context.channel() as SocketChannel
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(
            ChannelFutureListener {
                channel.shutdownOutput()
                context.executor().schedule({ channel.close() }, LINGER_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            },
        )
        channel.config().isAutoRead = true
    }

    private companion object {
        /** Time for the caller to read the end of the response and close its side; a round trip takes milliseconds. */
        val LINGER_TIME: Duration = 1.seconds
    }
}
