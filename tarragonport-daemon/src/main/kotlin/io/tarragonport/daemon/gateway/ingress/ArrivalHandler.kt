package io.tarragonport.daemon.gateway.ingress

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells [connection] about the first bytes of a request, before the decoder has a complete head. */
internal class ArrivalHandler(
    private val connection: CallerConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        connection.bytesArrived()
        context.fireChannelRead(message)
    }
}
