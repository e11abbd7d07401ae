package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Notifies [connection] of received bytes before the decoder has a complete request head, and after decoding. */
internal class BytesReceivedHandler(
    private val connection: CallerConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        connection.bytesReceived((message as? ByteBuf)?.readableBytes() ?: 0)
        context.fireChannelRead(message)
        connection.bytesDecoded()
    }
}
