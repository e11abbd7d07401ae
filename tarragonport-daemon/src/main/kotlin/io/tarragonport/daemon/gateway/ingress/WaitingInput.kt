package io.tarragonport.daemon.gateway.ingress

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import java.util.concurrent.TimeUnit

/**
 * The input of a caller's connection that has arrived and is not decoded: requests that were sent ahead, and what exceeds
 * the connection's turn.
 *
 * A turn bounds the work for one connection in a round of the event loop, whatever the input consists of. Reading pauses
 * while more than [MAXIMUM_BYTES] wait. What waits counts in [buffers]. [accepting] tells whether the connection takes
 * further parts of requests, and [onTurn] continues the decoding at the beginning of a later turn.
 */
internal class WaitingInput(
    private val context: ChannelHandlerContext,
    private val decoder: GatedRequestDecoder,
    private val buffers: CallerBuffers,
    private val accepting: () -> Boolean,
    private val onTurn: () -> Unit,
) {
    private var turnCost = 0
    private var turnScheduled = false

    /** Whether the next part may be decoded in this turn. */
    val open: Boolean get() = turnCost < MAXIMUM_TURN_COST && accepting()

    val isEmpty: Boolean get() = decoder.waitingBytes == 0

    /** Whether something waits only because the connection's turn is used up. */
    val awaitsTurn: Boolean get() = turnScheduled && !isEmpty

    /** Whether the start of a request waits that is not complete, so that nothing can be decoded. */
    val incomplete: Boolean get() = !isEmpty && open

    /** Counts [message], which has been decoded, towards the turn. */
    fun decoded(message: HttpObject) {
        turnCost += if (message is HttpRequest) HEAD_COST else 1
        if (turnCost < MAXIMUM_TURN_COST || turnScheduled) return
        turnScheduled = true
        // A task without a delay would run in the same round, before the input of other connections.
        context.executor().schedule(::startTurn, TURN_DELAY_MS, TimeUnit.MILLISECONDS)
    }

    /** Updates what is held after bytes have arrived or were decoded, and pauses or resumes reading. */
    fun update() {
        buffers.waiting(if (open) 0 else decoder.heldBytes)
        context.channel().config().isAutoRead = decoder.waitingBytes <= MAXIMUM_BYTES
    }

    /** Decodes what waits, as far as the connection accepts it. */
    fun resume() {
        decoder.resume()
        update()
    }

    /** A round in which the turn was not used up has ended. */
    fun roundEnded() {
        if (!turnScheduled) turnCost = 0
    }

    private fun startTurn() {
        turnScheduled = false
        turnCost = 0
        onTurn()
    }

    private companion object {
        /** Enough for a few pipelined prompts of typical size. */
        const val MAXIMUM_BYTES = 131_072

        /** Cost of a turn: sixteen heads, or chunks of the smallest size for some milliseconds. */
        const val MAXIMUM_TURN_COST = 4_096
        const val HEAD_COST = 256
        const val TURN_DELAY_MS = 1L
    }
}
