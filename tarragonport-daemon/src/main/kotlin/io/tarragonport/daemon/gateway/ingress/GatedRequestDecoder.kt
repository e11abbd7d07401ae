package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests only while [gate] is open.
 *
 * A decoded request takes many times the memory of a short one on the wire, so requests that were sent ahead wait as
 * the bytes that arrived. Whoever opens the gate calls [resume].
 */
internal open class GatedRequestDecoder(
    config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    private lateinit var context: ChannelHandlerContext
    private var decoding = false

    /** Without a gate, everything is decoded. */
    var gate: InputGate? = null

    /** Bytes that have arrived and are not decoded. */
    val waitingBytes: Int get() = if (::context.isInitialized) actualReadableBytes() else 0

    /** Memory that the bytes which are not decoded take. */
    val heldBytes: Int get() = if (waitingBytes > 0) internalBuffer().capacity() else 0

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        decoding = true
        try {
            super.channelRead(context, message)
        } finally {
            decoding = false
        }
    }

    /** The inherited method would read on, although reading has been paused, if nothing has been decoded. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        discardSomeReadBytes()
        context.fireChannelReadComplete()
    }

    override fun decode(
        context: ChannelHandlerContext,
        input: ByteBuf,
        decoded: MutableList<Any>,
    ) {
        val current = gate
        when {
            current == null || current.open -> {
                super.decode(context, input, decoded)
            }

            current.discarding -> {
                input.skipBytes(input.readableBytes())
                current.inputDiscarded()
            }
        }
    }

    /** Decodes what waits, as far as the gate is open; has no effect while input is being decoded. */
    fun resume() {
        if (!decoding && waitingBytes > 0) channelRead(context, Unpooled.EMPTY_BUFFER)
    }
}
