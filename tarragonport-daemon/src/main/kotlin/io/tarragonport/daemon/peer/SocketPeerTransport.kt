package io.tarragonport.daemon.peer

import arrow.core.flatMap
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.daemon.event.line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Peer connections over TCP.
 *
 * There is one connection for each pair of VMs: the side that opens it sends its own peer address as the first frame,
 * and the other side sends over the same connection. A broken connection is reopened for the next message. Messages to
 * a VM wait in a queue of [QUEUE_CAPACITY], which drops the oldest when full, so that an unreachable VM does not delay
 * messages to other VMs.
 */
class SocketPeerTransport(
    private val ownAddress: String,
) : PeerTransport {
    private val queues = ConcurrentHashMap<String, Channel<ByteArray>>()
    private val accepted = ConcurrentHashMap<String, PeerConnection>()
    private var scope: CoroutineScope? = null

    /** Returns only once the address is free again, because a selector closes its sockets asynchronously. */
    override suspend fun run(receive: suspend (PeerEnvelope) -> Unit) {
        val selectorJob = Job()
        try {
            serveWith(SelectorManager(Dispatchers.IO + selectorJob), receive)
        } finally {
            selectorJob.complete()
            withContext(NonCancellable) { selectorJob.join() }
        }
    }

    private suspend fun serveWith(
        manager: SelectorManager,
        receive: suspend (PeerEnvelope) -> Unit,
    ) {
        manager.use { selector ->
            coroutineScope {
                val (host, port) = split(ownAddress)
                aSocket(selector).tcp().bind(host, port).use { server ->
                    scope = this
                    queues.forEach { (address, queue) -> launch { sendQueued(selector, address, queue, receive) } }
                    startSender = { address, queue -> launch { sendQueued(selector, address, queue, receive) } }
                    acceptAll(server, receive)
                }
            }
        }
    }

    override fun send(
        address: String,
        envelope: PeerEnvelope,
    ) {
        queue(address).trySend(PeerCodec.encode(envelope))
    }

    @Volatile
    private var startSender: (String, Channel<ByteArray>) -> Unit = { _, _ -> }

    private fun queue(address: String): Channel<ByteArray> =
        queues.computeIfAbsent(address) {
            Channel<ByteArray>(QUEUE_CAPACITY, BufferOverflow.DROP_OLDEST).also { startSender(address, it) }
        }

    private suspend fun CoroutineScope.acceptAll(
        server: ServerSocket,
        receive: suspend (PeerEnvelope) -> Unit,
    ) {
        while (true) {
            val socket = server.accept()
            launch { serve(socket, receive) }
        }
    }

    /** Reads from a connection that a peer opened. */
    private suspend fun serve(
        socket: Socket,
        receive: suspend (PeerEnvelope) -> Unit,
    ) = logFailures("${socket.remoteAddress}") {
        val connection = PeerConnection(socket)
        val addressFrame = withTimeoutOrNull(CONNECT_TIMEOUT) { FrameCodec.read(connection.input) }
        val address = addressFrame?.getOrNull()?.takeIf { it.size <= MAXIMUM_ADDRESS_BYTES }?.decodeToString()
        if (address == null) {
            log(PeerEvents.MALFORMED_FRAME, "${socket.remoteAddress} sent no valid peer address")
            socket.close()
        } else {
            accepted[address] = connection
            connection.readAll(address, receive)
            accepted.remove(address, connection)
        }
    }

    /** Sends the messages in [queue], over an accepted connection if there is one. */
    private suspend fun sendQueued(
        selector: SelectorManager,
        address: String,
        queue: Channel<ByteArray>,
        receive: suspend (PeerEnvelope) -> Unit,
    ) = coroutineScope {
        var opened: PeerConnection? = null
        while (true) {
            val content = withTimeoutOrNull(IDLE_TIMEOUT) { queue.receive() } ?: break
            logFailures(address) {
                val existing = accepted[address]?.takeIf { it.usable } ?: opened?.takeIf { it.usable }
                val connection = existing ?: open(selector, address).also { opened = it }
                if (connection !== existing) launch { logFailures(address) { connection.readAll(address, receive) } }
                connection.write(content)
            }
        }
        queues.remove(address, queue)
        opened?.close()
    }

    private suspend fun open(
        selector: SelectorManager,
        address: String,
    ): PeerConnection {
        val (host, port) = split(address)
        val socket = withTimeout(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(host, port) }
        return PeerConnection(socket).also { it.write(ownAddress.encodeToByteArray()) }
    }

    /** Logs failures of [body], so that a failure of one connection does not end the others. */
    private suspend fun logFailures(
        address: String,
        body: suspend () -> Unit,
    ) {
        try {
            body()
        } catch (error: TimeoutCancellationException) {
            log(PeerEvents.LINK_FAILED, "$address: ${error.message}")
        } catch (error: CancellationException) {
            throw error
        } catch (error: IOException) {
            log(PeerEvents.LINK_FAILED, "$address: ${error.message}")
        } catch (error: IllegalArgumentException) {
            // A peer disseminated an unresolvable or malformed address.
            log(PeerEvents.LINK_FAILED, "$address: ${error.message}")
        }
    }

    private fun split(address: String): Pair<String, Int> {
        val port = requireNotNull(address.substringAfterLast(':').toIntOrNull()) { "no port in $address" }
        return address.substringBeforeLast(':') to port
    }

    private fun log(
        event: LogEvent,
        text: String,
    ) = logger.info { event.line(text) }

    private inner class PeerConnection(
        private val socket: Socket,
    ) {
        val input: ByteReadChannel = socket.openReadChannel()
        private val output: ByteWriteChannel = socket.openWriteChannel()

        @Volatile
        var usable = true
            private set

        suspend fun write(content: ByteArray) {
            try {
                withTimeout(WRITE_TIMEOUT) { FrameCodec.write(output, content) }
            } catch (error: TimeoutCancellationException) {
                close()
                throw error
            } catch (error: IOException) {
                close()
                throw error
            }
        }

        /** Passes on all messages until the peer closes the connection or sends an unreadable frame. */
        suspend fun readAll(
            address: String,
            receive: suspend (PeerEnvelope) -> Unit,
        ) {
            try {
                while (true) {
                    val envelope = FrameCodec.read(input).flatMap { PeerCodec.decode(it) }
                    val reason = envelope.fold({ it }, { null })
                    if (reason != null) {
                        log(PeerEvents.MALFORMED_FRAME, "$address: $reason")
                        break
                    }
                    envelope.getOrNull()?.let { receive(it) }
                }
            } finally {
                close()
            }
        }

        fun close() {
            usable = false
            socket.close()
        }
    }

    companion object {
        /** Shorter than the time after which an unresponsive peer becomes suspect. */
        val CONNECT_TIMEOUT: Duration = 1.seconds

        /** Timeout for writing one message. */
        val WRITE_TIMEOUT: Duration = 2.seconds

        /** A connection opened by this VM is closed after this time without a message to send. */
        val IDLE_TIMEOUT: Duration = 10.minutes

        /** Messages queued for one VM. */
        const val QUEUE_CAPACITY = 64

        private const val MAXIMUM_ADDRESS_BYTES = 100
    }
}
