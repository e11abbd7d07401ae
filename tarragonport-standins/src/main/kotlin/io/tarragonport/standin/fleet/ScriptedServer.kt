package io.tarragonport.standin.fleet

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.Collections
import kotlin.concurrent.thread

/**
 * A backend server on 127.0.0.1 whose [script] writes the raw bytes of each response, so that tests can simulate any
 * malformed or missing response.
 *
 * The script gets each request and its connection. It may write any bytes, wait, or close the connection.
 */
class ScriptedServer(
    val id: String,
    private val script: (ReceivedCall, Socket) -> Unit,
) : AutoCloseable {
    private val serverSocket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Requests in order of arrival. */
    val received: MutableList<ReceivedCall> = Collections.synchronizedList(mutableListOf())

    private val sockets: MutableSet<Socket> = Collections.synchronizedSet(mutableSetOf())

    /** Number of accepted connections. */
    @Volatile
    var connections = 0
        private set

    val address: String = "127.0.0.1:${serverSocket.localPort}"

    init {
        thread(isDaemon = true, name = "scripted-$id") { accept() }
    }

    override fun close() = serverSocket.close()

    /** Closes all connections and accepts no more. */
    fun crash() {
        close()
        synchronized(sockets) { sockets.toList() }.forEach { it.close() }
    }

    private fun accept() {
        while (!serverSocket.isClosed) {
            try {
                val socket = serverSocket.accept()
                connections++
                sockets += socket
                thread(isDaemon = true, name = "scripted-$id-connection") { serve(socket) }
            } catch (_: IOException) {
                // The server socket was closed.
            }
        }
    }

    private fun serve(socket: Socket) {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            while (!socket.isClosed) {
                val call = readCall(input) ?: break
                received += call
                script(call, socket)
            }
        } catch (_: IOException) {
            // The peer closed the connection.
        } finally {
            sockets -= socket
            socket.close()
        }
    }

    private fun readCall(input: InputStream): ReceivedCall? {
        val requestLine = readLine(input) ?: return null
        val headers = generateSequence { readLine(input)?.ifEmpty { null } }.associate(::parseHeader)
        val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0)
        val (method, target) = requestLine.split(' ')
        return ReceivedCall(method, target, headers, body, received.size)
    }

    private fun parseHeader(text: String): Pair<String, String> =
        text.substringBefore(':').lowercase() to text.substringAfter(':').trim()

    private fun readLine(input: InputStream): String? {
        val text = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return text.removeSuffix("\r").toString()
            text.append(byte.toChar())
        }
    }

    companion object {
        private const val BACKLOG = 64

        /** Writes [text] and flushes it. */
        fun OutputStream.send(text: String) {
            write(text.toByteArray())
            flush()
        }
    }
}
