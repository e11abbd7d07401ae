package io.tarragonport.daemon.gateway.ingress

import io.netty.channel.Channel

/** The output of [channel] that its caller has not read, which shows whether a slow caller still reads. */
internal class UnreadOutput(
    private val channel: Channel,
) {
    private var bytesBefore = Long.MAX_VALUE

    val isEmpty: Boolean get() = bytes() == 0L

    /** Whether the caller has read anything since the last call; true at the first call after [reset]. */
    fun progressed(): Boolean {
        val bytes = bytes()
        return (bytes < bytesBefore).also { bytesBefore = bytes }
    }

    /** More output was added. */
    fun reset() {
        bytesBefore = Long.MAX_VALUE
    }

    private fun bytes(): Long = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
}
