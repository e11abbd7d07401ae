package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.PeerEnvelope
import kotlinx.coroutines.channels.Channel

/**
 * Passes the messages of one connection to [receive] one after the other.
 *
 * Reading from the connection pauses while [MAXIMUM_WAITING] messages wait, so that a slow receiver slows the sender.
 */
internal class PeerInbox(
    private val connection: PeerConnection,
    private val receive: suspend (PeerEnvelope) -> Unit,
) {
    private val messages = Channel<PeerEnvelope>(Channel.UNLIMITED)
    private var waiting = 0
    private var paused = false

    /** Adds a message; called on the event loop. */
    @Synchronized
    fun add(envelope: PeerEnvelope) {
        messages.trySend(envelope)
        if (++waiting >= MAXIMUM_WAITING && !paused) setPaused(true)
    }

    /** Runs until the connection is closed. */
    suspend fun run() {
        for (envelope in messages) {
            receive(envelope)
            taken()
        }
    }

    fun close() {
        messages.close()
    }

    @Synchronized
    private fun taken() {
        if (--waiting <= MAXIMUM_WAITING / 2 && paused) setPaused(false)
    }

    private fun setPaused(pause: Boolean) {
        paused = pause
        connection.setReading(!pause)
    }

    private companion object {
        const val MAXIMUM_WAITING = 64
    }
}
