package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import java.util.ArrayDeque

/** The decoded parts of requests that a caller has sent ahead, counted in [buffers]. */
internal class InputQueue(
    private val buffers: CallerBuffers,
) {
    private val messages = ArrayDeque<HttpObject>()

    /** Whether so much waits that nothing more is to be read. */
    val full: Boolean get() = buffers.queued > MAXIMUM_BYTES || messages.size > MAXIMUM_OBJECTS

    fun isEmpty(): Boolean = messages.isEmpty()

    fun isNotEmpty(): Boolean = messages.isNotEmpty()

    /** Adds [message], which is released by whoever removes it. */
    fun add(message: HttpObject) {
        messages.add(message)
        buffers.queued(message)
    }

    /** Removes the first part. */
    fun remove(): HttpObject = messages.remove().also(buffers::dequeued)

    /** Releases all parts. */
    fun clear() {
        while (messages.isNotEmpty()) ReferenceCountUtil.release(remove())
    }

    private companion object {
        /** Enough for a few pipelined prompts of typical size. */
        const val MAXIMUM_BYTES = 131_072

        /** Limit on decoded request heads and body chunks. */
        const val MAXIMUM_OBJECTS = 64
    }
}
