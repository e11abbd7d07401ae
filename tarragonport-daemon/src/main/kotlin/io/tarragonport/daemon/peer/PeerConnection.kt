package io.tarragonport.daemon.peer

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.concurrent.ScheduledFuture
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import java.util.concurrent.TimeUnit

/**
 * One connection to another VM, used on its event loop only.
 *
 * [address] is the peer address of the other VM; it is null on an accepted connection until the first frame, which
 * carries it, has arrived.
 */
internal class PeerConnection(
    address: String?,
    private val owner: Owner,
) : SimpleChannelInboundHandler<ByteBuf>() {
    /** Receives what happens on a connection. */
    interface Owner {
        /** The other VM said that its peer address is [address]. */
        fun identified(
            connection: PeerConnection,
            address: String,
        )

        fun received(
            connection: PeerConnection,
            envelope: PeerEnvelope,
        )

        fun writable(connection: PeerConnection)

        fun malformed(
            connection: PeerConnection,
            reason: String,
        )

        fun closed(connection: PeerConnection)
    }

    var address: String? = address
        private set
    private lateinit var context: ChannelHandlerContext
    private var timer: ScheduledFuture<*>? = null

    val usable: Boolean get() = context.channel().isActive
    val writable: Boolean get() = usable && context.channel().isWritable

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        if (address == null) closeAfter(SocketPeerTransport.CONNECT_TIMEOUT.inWholeMilliseconds)
    }

    /** Writes one frame without flushing it. */
    fun write(content: ByteArray) {
        context.write(context.alloc().buffer(content.size).writeBytes(content))
    }

    fun flush() {
        context.flush()
    }

    fun close() {
        context.close()
    }

    /** Pauses or resumes reading, while the receiver is behind. */
    fun setReading(reading: Boolean) {
        context.channel().config().isAutoRead = reading
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        frame: ByteBuf,
    ) {
        val content = ByteBufUtil.getBytes(frame)
        if (address == null) identify(content) else decode(content)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) {
            stopTimer()
            owner.writable(this)
        } else {
            closeAfter(SocketPeerTransport.WRITE_TIMEOUT.inWholeMilliseconds)
        }
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is IdleStateEvent) close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        stopTimer()
        owner.closed(this)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        owner.malformed(this, cause.message ?: cause.javaClass.simpleName)
        ctx.close()
    }

    private fun identify(content: ByteArray) {
        stopTimer()
        if (content.size !in 1..MAXIMUM_ADDRESS_BYTES) {
            owner.malformed(this, "no valid peer address")
            close()
        } else {
            val received = content.decodeToString()
            address = received
            owner.identified(this, received)
        }
    }

    private fun decode(content: ByteArray) =
        PeerCodec.decode(content).fold(
            { reason ->
                owner.malformed(this, reason)
                close()
            },
            { owner.received(this, it) },
        )

    private fun closeAfter(milliseconds: Long) {
        stopTimer()
        timer = context.executor().schedule({ context.close() }, milliseconds, TimeUnit.MILLISECONDS)
    }

    private fun stopTimer() {
        timer?.cancel(false)
        timer = null
    }

    private companion object {
        const val MAXIMUM_ADDRESS_BYTES = 100
    }
}
