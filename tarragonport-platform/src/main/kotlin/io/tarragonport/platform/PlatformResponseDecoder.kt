package io.tarragonport.platform

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses of the platform and notices bytes that belong to no response.
 *
 * Such bytes can be part of a head, which the decoder would complete with the head of the next response. They are
 * therefore recognised by their position: before a call was sent or after the end of its response.
 */
internal class PlatformResponseDecoder : HttpResponseDecoder() {
    /** Whether bytes have arrived that belong to no response; the connection must not be used again. */
    var unexpectedInput = false
        private set

    private var responseExpected = false

    /** Called when a call is sent. */
    fun callSent() {
        responseExpected = true
    }

    /** Called at the end of the response to the call that was sent. */
    fun responseEnded() {
        responseExpected = false
        if (actualReadableBytes() > 0) unexpectedInput = true
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (!responseExpected && message is ByteBuf && message.isReadable) unexpectedInput = true
        super.channelRead(context, message)
    }
}
