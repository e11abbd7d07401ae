package io.tarragonport.tool.fault

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A TCP relay on 127.0.0.1 that can be cut, silenced in one direction or both, delayed, and whose connections can be reset. */
class LoopbackLink(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    /** While true, connections are closed at once. */
    @Volatile
    var cut = false
        set(value) {
            field = value
            if (value) reset()
        }

    /** While true, what the accepting side sends is taken and not passed on. */
    @Volatile
    var answersSilent = false

    /** While true, what the connecting side sends is taken and not passed on. */
    @Volatile
    var requestsSilent = false

    /** Waited before each piece of data is passed on. */
    @Volatile
    var delayMs = 0L

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "link-$port") { accept() }
    }

    /** Resets all open connections; new ones are passed on. */
    fun reset() = sockets.forEach { it.resetQuietly() }

    override fun close() {
        server.close()
        reset()
    }

    private fun accept() {
        try {
            while (true) {
                val near = server.accept()
                if (cut) near.closeQuietly() else connect(near)
            }
        } catch (_: IOException) {
            // The link was closed.
        }
    }

    private fun connect(near: Socket) {
        val far =
            try {
                Socket(InetAddress.getLoopbackAddress(), targetPort)
            } catch (_: IOException) {
                near.closeQuietly()
                return
            }
        sockets += listOf(near, far)
        thread(isDaemon = true) { pump(near, far) { requestsSilent } }
        thread(isDaemon = true) { pump(far, near) { answersSilent } }
    }

    private fun pump(
        from: Socket,
        to: Socket,
        silent: () -> Boolean,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (delayMs > 0) Thread.sleep(delayMs)
                if (!silent()) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // Either side closed the connection.
        }
        listOf(from, to).forEach { it.closeQuietly() }
        sockets -= setOf(from, to)
    }

    /** Closes with a reset in place of an orderly end. */
    private fun Socket.resetQuietly() {
        try {
            setSoLinger(true, 0)
        } catch (_: IOException) {
            // Closed in the meantime: there is nothing to reset.
        }
        closeQuietly()
    }

    private fun Socket.closeQuietly() =
        try {
            close()
        } catch (_: IOException) {
            // Nothing is left to release.
        }

    private companion object {
        const val BACKLOG = 64
        const val BUFFER_BYTES = 65_536
    }
}
