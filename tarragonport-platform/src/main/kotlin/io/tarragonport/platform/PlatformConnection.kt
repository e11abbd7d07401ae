package io.tarragonport.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpUtil
import kotlin.time.Duration.Companion.seconds

/**
 * One connection to the platform, which carries one call at a time.
 *
 * A connection on which bytes have arrived that belong to no response is closed, and a head that consists of parts of
 * two responses fails the call.
 */
internal class PlatformConnection(
    private val decoder: PlatformResponseDecoder,
    private val onReleased: (PlatformConnection) -> Unit,
    private val onClosed: (PlatformConnection) -> Unit,
) : SimpleChannelInboundHandler<FullHttpResponse>() {
    private lateinit var context: ChannelHandlerContext
    private var receive: ((Either<String, PlatformResponse>) -> Unit)? = null

    val open: Boolean get() = context.channel().isActive && !decoder.unexpectedInput

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Sends [message] and passes the response, or the reason why there is none, to [receive]. */
    fun send(
        message: FullHttpRequest,
        receive: (Either<String, PlatformResponse>) -> Unit,
    ) {
        this.receive = receive
        decoder.callSent()
        context.writeAndFlush(message).addListener { result ->
            if (!result.isSuccess) fail(result.cause())
        }
    }

    fun close() {
        receive = null
        context.close()
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        response: FullHttpResponse,
    ) {
        val receiver = receive
        if (receiver == null || response.decoderResult().isFailure) {
            val cause = response.decoderResult().cause() ?: IllegalStateException("response without a request")
            return fail(cause)
        }
        if (ResponseHeadCheck.isSpliced(response)) {
            return fail(IllegalStateException("response head contains another status line"))
        }
        receive = null
        decoder.responseEnded()
        if (HttpUtil.isKeepAlive(response) && open) onReleased(this) else context.close()
        receiver(decode(response).right())
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (receive == null && decoder.unexpectedInput) ctx.close()
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        onClosed(this)
        end("the connection was closed before a complete response")
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) = fail(cause)

    private fun fail(cause: Throwable) {
        context.close()
        end(cause.message ?: cause.javaClass.simpleName)
    }

    private fun end(reason: String) {
        val receiver = receive ?: return
        receive = null
        receiver(reason.left())
    }

    private fun decode(response: FullHttpResponse): PlatformResponse =
        PlatformResponse(
            status = response.status().code(),
            entityTag = response.headers().get(HttpHeaderNames.ETAG),
            body = response.content().toString(Charsets.UTF_8),
            retryAfter =
                response
                    .headers()
                    .get(HttpHeaderNames.RETRY_AFTER)
                    ?.toLongOrNull()
                    ?.seconds,
            headers = response.headers(),
        )
}
