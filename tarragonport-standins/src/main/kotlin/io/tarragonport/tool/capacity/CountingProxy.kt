package io.tarragonport.tool.capacity

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Forwards TCP connections to [targetPort] on the loopback address and counts the payload bytes in both directions. */
class CountingProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val forwardedBytes = AtomicLong()

    val port: Int get() = listener.localPort

    /** Bytes forwarded so far. */
    val bytes: Long get() = forwardedBytes.get()

    init {
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        try {
            while (true) {
                val client = listener.accept()
                val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
                thread(isDaemon = true) { forward(client, target) }
                thread(isDaemon = true) { forward(target, client) }
            }
        } catch (_: IOException) {
            listener.close()
        }
    }

    private fun forward(
        from: Socket,
        to: Socket,
    ) {
        try {
            copy(from.getInputStream(), to.getOutputStream())
            to.shutdownOutput()
        } catch (_: IOException) {
            from.close()
            to.close()
        }
    }

    private fun copy(
        from: InputStream,
        to: OutputStream,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.read(buffer)
            if (count < 0) return
            forwardedBytes.addAndGet(count.toLong())
            to.write(buffer, 0, count)
        }
    }

    override fun close() = listener.close()

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 16_384
    }
}
