package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Buffers a request's body up to [limitBytes].
 *
 * The bytes are copied once, into blocks that grow with the body, because a small piece would keep the whole buffer in
 * which it was received, and merging pieces would copy them again and again.
 */
internal class BodyAssembler(
    private val limitBytes: Int,
) {
    private val blocks = mutableListOf<ByteBuf>()
    private var size = 0L

    /** Memory that the buffered bytes take. */
    var heldBytes = 0
        private set

    /** Adds a copy of [bytes]; returns false if the body exceeds the limit. */
    fun add(bytes: ByteBuf): Boolean {
        size += bytes.readableBytes()
        if (size > limitBytes) return false
        var offset = bytes.readerIndex()
        while (offset < bytes.writerIndex()) {
            val block = blocks.lastOrNull()?.takeIf { it.isWritable } ?: newBlock(bytes.writerIndex() - offset)
            val count = minOf(block.writableBytes(), bytes.writerIndex() - offset)
            block.writeBytes(bytes, offset, count)
            offset += count
        }
        return true
    }

    /** Returns the complete body, which the caller of this function must release. */
    fun take(): ByteBuf {
        val body = if (blocks.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(*blocks.toTypedArray())
        blocks.clear()
        return body
    }

    /** Releases the buffered bytes. */
    fun release() {
        blocks.forEach { it.release() }
        blocks.clear()
    }

    private fun newBlock(needed: Int): ByteBuf {
        val capacity = maxOf(needed, heldBytes).coerceIn(MINIMUM_BLOCK_BYTES, MAXIMUM_BLOCK_BYTES)
        heldBytes += capacity
        return Unpooled.buffer(capacity, capacity).also { blocks += it }
    }

    private companion object {
        const val MINIMUM_BLOCK_BYTES = 512
        const val MAXIMUM_BLOCK_BYTES = 65_536
    }
}
