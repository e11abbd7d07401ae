package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/**
 * Buffers a request's body up to [limitBytes].
 *
 * The bytes are copied, because a small piece would keep the whole buffer in which it was received.
 */
internal class BodyAssembler(
    private val limitBytes: Int,
) {
    private var parts: CompositeByteBuf? = null
    private var size = 0L

    /** Adds a copy of [bytes]; returns false if the body exceeds the limit. */
    fun add(bytes: ByteBuf): Boolean {
        size += bytes.readableBytes()
        if (size > limitBytes) return false
        if (bytes.isReadable) {
            val composite = parts ?: Unpooled.compositeBuffer(MAXIMUM_PARTS).also { parts = it }
            composite.addComponent(true, Unpooled.copiedBuffer(ByteBufUtil.getBytes(bytes)))
        }
        return true
    }

    /** Returns the complete body, which the caller of this function must release. */
    fun take(): ByteBuf = (parts ?: Unpooled.EMPTY_BUFFER).also { parts = null }

    /** Releases the buffered bytes. */
    fun release() {
        parts?.release()
        parts = null
    }

    private companion object {
        /** Above this number, the parts are merged into one buffer. */
        const val MAXIMUM_PARTS = 64
    }
}
