package io.tarragonport.tool.fault

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A TCP relay on 127.0.0.1 that can cut, reset and delay connections and discard data in one or both directions. */
class LoopbackLink(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** While true, new connections are closed at once; setting it resets the open ones. */
    @Volatile
    var cut = false
        set(value) {
            field = value
            if (value) reset()
        }

    /** While true, data from the target is read and discarded. */
    @Volatile
    var discardResponses = false

    /** While true, data from the client is read and discarded. */
    @Volatile
    var discardRequests = false

    /** Delay before each block of data is forwarded. */
    @Volatile
    var delayMs = 0L

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "link-$port") { accept() }
    }

    /** Resets all open connections; new ones are still accepted. */
    fun reset() = sockets.forEach { it.resetQuietly() }

    override fun close() {
        server.close()
        reset()
    }

    private fun accept() {
        try {
            while (true) {
                val client = server.accept()
                if (cut) client.closeQuietly() else connect(client)
            }
        } catch (_: IOException) {
            // The link was closed.
        }
    }

    private fun connect(client: Socket) {
        val target =
            try {
                Socket(InetAddress.getLoopbackAddress(), targetPort)
            } catch (_: IOException) {
                client.closeQuietly()
                return
            }
        sockets += listOf(client, target)
        thread(isDaemon = true) { pump(client, target) { discardRequests } }
        thread(isDaemon = true) { pump(target, client) { discardResponses } }
    }

    private fun pump(
        from: Socket,
        to: Socket,
        discard: () -> Boolean,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (delayMs > 0) Thread.sleep(delayMs)
                if (!discard()) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // Either side closed the connection.
        }
        listOf(from, to).forEach { it.closeQuietly() }
        sockets -= setOf(from, to)
    }

    /** Closes the socket with a TCP reset. */
    private fun Socket.resetQuietly() {
        try {
            setSoLinger(true, 0)
        } catch (_: IOException) {
            // Already closed: there is nothing to reset.
        }
        closeQuietly()
    }

    private fun Socket.closeQuietly() =
        try {
            close()
        } catch (_: IOException) {
            // The socket is already released.
        }

    private companion object {
        const val BACKLOG = 64
        const val BUFFER_BYTES = 65_536
    }
}
