package io.tarragonport.daemon.gateway.ingress

import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.ScheduledFuture
import io.tarragonport.daemon.gateway.readAvailable
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * The time limit of a caller's connection for its next input.
 *
 * Input that has arrived by then, read or not, makes the limit obsolete; [ended] tells whether it is so for another
 * reason.
 */
internal class InputTimer(
    private val context: ChannelHandlerContext,
    private val ended: () -> Boolean,
) {
    private var scheduled: ScheduledFuture<*>? = null

    val running: Boolean get() = scheduled != null

    /** Runs [action] after [duration]; replaces the limit that is set. */
    fun start(
        duration: Duration,
        action: () -> Unit,
    ) {
        stop()
        scheduled = context.executor().schedule({ due(action) }, duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun stop() {
        scheduled?.cancel(false)
        scheduled = null
    }

    private fun due(action: () -> Unit) {
        scheduled = null
        context.channel().readAvailable()
        if (scheduled == null && !ended()) action()
    }
}
