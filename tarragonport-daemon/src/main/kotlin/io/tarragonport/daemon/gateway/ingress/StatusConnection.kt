package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.TimeUnit

/**
 * One connection to the status server, which serves one request in a round of the event loop.
 *
 * Nothing is read or decoded until the response to the request before has been sent, so a client that does not read
 * holds one response at most.
 */
internal class StatusConnection(
    private val decoder: GatedRequestDecoder,
    private val encoder: CallerResponseEncoder,
    private val handler: (path: String) -> StatusResponse,
) : SimpleChannelInboundHandler<FullHttpRequest>(),
    InputGate {
    private var responding = false

    override val open: Boolean get() = !responding

    override val discarding: Boolean get() = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        decoder.gate = this
    }

    override fun inputDiscarded() = Unit

    override fun channelRead0(
        context: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        responding = true
        context.channel().config().isAutoRead = false
        val result = handler(request.uri().substringBefore('?'))
        val response = response(result.status, Unpooled.copiedBuffer(result.text, Charsets.UTF_8))
        encoder.headRequest = request.method() == HttpMethod.HEAD
        val keepAlive = HttpUtil.isKeepAlive(request)
        HttpUtil.setKeepAlive(response, keepAlive)
        val written = context.writeAndFlush(response)
        if (keepAlive) {
            written.addListener { context.executor().schedule({ serveNext(context) }, ROUND_MS, TimeUnit.MILLISECONDS) }
        } else {
            written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }

    private fun serveNext(context: ChannelHandlerContext) {
        responding = false
        decoder.resume()
        if (!responding) context.channel().config().isAutoRead = true
    }

    private fun response(
        status: Int,
        body: ByteBuf,
    ): DefaultFullHttpResponse {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body)
        HttpUtil.setContentLength(response, body.readableBytes().toLong())
        return response
    }

    private companion object {
        /** A task without a delay would run before the input of other connections. */
        const val ROUND_MS = 1L
    }
}
