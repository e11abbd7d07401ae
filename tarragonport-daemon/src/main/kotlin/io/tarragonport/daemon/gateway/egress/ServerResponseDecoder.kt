package io.tarragonport.daemon.gateway.egress

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses of backend servers; the response to a HEAD request has no body.
 *
 * Bytes that arrive while no response is expected can be part of a head. The decoder keeps such a part, whether as
 * buffered bytes or as decoded lines, and would complete it with the head of the next response. [unexpectedInput]
 * therefore counts bytes by their position, not by what has been decoded from them.
 */
internal class ServerResponseDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_HEADER_BYTES)
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
    ) {
    /** Whether the request in flight has method HEAD. */
    var headRequest = false

    /** Whether bytes have arrived before a request was sent or after the end of its response. */
    var unexpectedInput = false
        private set

    private var responseExpected = false

    /** Bytes received since the last decoded part of a response. */
    private var undecodedBytes = 0L

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) {
            undecodedBytes += message.readableBytes()
            if (!responseExpected && message.isReadable) unexpectedInput = true
        }
        super.channelRead(context, message)
        if (undecodedBytes > MAXIMUM_UNDECODED_BYTES && context.channel().isOpen) {
            context.fireExceptionCaught(TooLongFrameException("$undecodedBytes bytes without a part of a response"))
        }
    }

    /** Called for each decoded part of a response. */
    fun partDecoded() {
        undecodedBytes = 0
    }

    /** Called when a request is sent. */
    fun requestSent() {
        responseExpected = true
    }

    /** Called for the last part of the response to the request that was sent. */
    fun responseEnded() {
        responseExpected = false
        if (actualReadableBytes() > 0) unexpectedInput = true
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val status = (message as? HttpResponse)?.status()?.code()
        val final = status == null || status >= FIRST_FINAL_STATUS
        return (headRequest && final) || super.isContentAlwaysEmpty(message)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")

    private companion object {
        /** Backend servers send a dozen short headers. */
        const val MAXIMUM_HEADER_BYTES = 65_536
        const val MAXIMUM_CHUNK_BYTES = 65_536
        const val FIRST_FINAL_STATUS = 200

        /** More than the longest head, because the decoder skips some bytes before a head without an error. */
        const val MAXIMUM_UNDECODED_BYTES = 4L * MAXIMUM_HEADER_BYTES
    }
}
