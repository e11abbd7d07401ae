package io.tarragonport.platform

import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a read whose result comes from bytes that the platform wrote behind an earlier response. */
class PlatformStrayBytesTest {
    @Test
    fun `bytes behind a response do not become the head of the next response`() {
        val failures =
            (1 until OTHER_RESPONSE.length)
                .map { OTHER_RESPONSE.take(it) }
                .associateWith(::secondStatus)
                .filterValues { it != OK }
        assertEquals(emptyMap(), failures)
    }

    /** The status of the second of two calls, if [stray] follows the response to the first. */
    private fun secondStatus(stray: String): Int? =
        ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { listener ->
            val first = AtomicBoolean(true)
            thread(isDaemon = true) { accept(listener) { if (first.getAndSet(false)) RESPONSE + stray else RESPONSE } }
            PlatformHttp("http://127.0.0.1:${listener.localPort}").use { http ->
                runBlocking {
                    http.call(HttpMethod.GET, listOf("objects"))
                    http.call(HttpMethod.GET, listOf("objects")).getOrNull()?.status
                }
            }
        }

    private fun accept(
        listener: ServerSocket,
        response: () -> String,
    ) {
        try {
            while (true) {
                val socket = listener.accept()
                thread(isDaemon = true) { serve(socket, response) }
            }
        } catch (_: IOException) {
            // The listener was closed.
        }
    }

    private fun serve(
        socket: Socket,
        response: () -> String,
    ) {
        try {
            while (socket.getInputStream().read(ByteArray(REQUEST_BYTES)) > 0) {
                socket.getOutputStream().write(response().toByteArray())
            }
        } catch (_: IOException) {
            // The client closed the connection.
        }
    }

    private companion object {
        const val OK = 200
        const val BACKLOG = 8
        const val REQUEST_BYTES = 4_096
        const val RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        const val OTHER_RESPONSE = "HTTP/1.1 404 None\r\nDate: now\r\nContent-Length: 0\r\n\r\n"
    }
}
