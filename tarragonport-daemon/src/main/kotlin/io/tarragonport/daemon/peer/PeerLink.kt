package io.tarragonport.daemon.peer

/**
 * The messages to one VM and the connection that carries them; used on the event loop only.
 *
 * While there is no writable connection, up to [QUEUE_CAPACITY] messages wait; beyond that the oldest is dropped.
 */
internal class PeerLink(
    private val connect: () -> Unit,
) {
    private val pending = ArrayDeque<ByteArray>()
    private var connecting = false

    /** The connection in use, opened by either side. */
    var connection: PeerConnection? = null
        private set

    val idle: Boolean get() = pending.isEmpty() && connection == null && !connecting

    /** Sends [content], opening a connection if there is none. */
    fun send(content: ByteArray) {
        if (pending.size == QUEUE_CAPACITY) pending.removeFirst()
        pending.addLast(content)
        flush()
    }

    /** Uses [connection], which is open, from now on. */
    fun connected(connection: PeerConnection) {
        this.connection = connection
        connecting = false
        flush()
    }

    /** No connection could be opened, so the waiting messages are dropped. */
    fun unreachable() {
        connecting = false
        pending.clear()
    }

    fun closed(connection: PeerConnection) {
        if (this.connection === connection) this.connection = null
    }

    /** Writes the waiting messages as far as the connection takes them. */
    fun flush() {
        val current = connection?.takeIf { it.usable }
        if (current == null) {
            if (!connecting && pending.isNotEmpty()) {
                connecting = true
                connect()
            }
            return
        }
        while (pending.isNotEmpty() && current.writable) current.write(pending.removeFirst())
        current.flush()
    }

    private companion object {
        const val QUEUE_CAPACITY = 64
    }
}
