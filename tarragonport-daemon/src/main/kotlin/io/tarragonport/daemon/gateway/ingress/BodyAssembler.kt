package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/** Collects a request's body up to [limitBytes]. */
internal class BodyAssembler(
    private val limitBytes: Int,
) {
    private var parts: CompositeByteBuf? = null
    private var size = 0L

    /** Adds [bytes], which are kept; false if the body is larger than allowed. */
    fun add(bytes: ByteBuf): Boolean {
        size += bytes.readableBytes()
        if (size > limitBytes) return false
        if (bytes.isReadable) {
            val composite = parts ?: Unpooled.compositeBuffer(MOST_PARTS).also { parts = it }
            composite.addComponent(true, bytes.retain())
        }
        return true
    }

    /** The complete body; whoever takes it releases it. */
    fun take(): ByteBuf = (parts ?: Unpooled.EMPTY_BUFFER).also { parts = null }

    /** Drops what was collected. */
    fun release() {
        parts?.release()
        parts = null
    }

    private companion object {
        /** Above this number, parts are copied together. */
        const val MOST_PARTS = 64
    }
}
