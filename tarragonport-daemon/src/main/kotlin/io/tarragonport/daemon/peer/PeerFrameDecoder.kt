package io.tarragonport.daemon.peer

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.CorruptedFrameException
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decodes frames on a peer connection: four bytes of length in big-endian order, then the content.
 *
 * A frame above [MAXIMUM_BYTES], or one that is incomplete [FRAME_TIMEOUT] after its first byte, fails the connection.
 */
internal class PeerFrameDecoder : LengthFieldBasedFrameDecoder(MAXIMUM_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES) {
    private var timer: ScheduledFuture<*>? = null

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (actualReadableBytes() == 0) stopTimer() else startTimer(context)
        super.channelReadComplete(context)
    }

    override fun handlerRemoved0(context: ChannelHandlerContext) = stopTimer()

    override fun channelInactive(context: ChannelHandlerContext) {
        stopTimer()
        super.channelInactive(context)
    }

    private fun startTimer(context: ChannelHandlerContext) {
        if (timer != null) return
        timer =
            context.executor().schedule(
                { context.fireExceptionCaught(CorruptedFrameException("frame incomplete after $FRAME_TIMEOUT")) },
                FRAME_TIMEOUT.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
    }

    private fun stopTimer() {
        timer?.cancel(false)
        timer = null
    }

    companion object {
        /** Large enough for the largest configuration section (1 MB) with its escape sequences. */
        const val MAXIMUM_BYTES = 2 * 1024 * 1024
        const val LENGTH_BYTES = 4
        val FRAME_TIMEOUT: Duration = 5.seconds
    }
}
