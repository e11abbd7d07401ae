package io.tarragonport.daemon.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LengthFieldPrepender
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.Future
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.daemon.event.line
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withContext
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Peer connections over TCP.
 *
 * There is one connection for each pair of VMs: the side that opens it sends its own peer address as the first frame,
 * and the other side sends over the same connection. A broken connection is reopened for the next message. A [PeerLink]
 * holds the messages to each VM, so that an unreachable VM does not delay messages to other VMs. Connections run on
 * [sharedLoop], or on a thread of their own if it is null.
 */
class SocketPeerTransport(
    private val ownAddress: String,
    sharedLoop: EventLoop? = null,
) : PeerTransport {
    private val ownGroup =
        if (sharedLoop == null) {
            MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("peers", true), NioIoHandler.newFactory())
        } else {
            null
        }
    private val loop: EventLoop = sharedLoop ?: checkNotNull(ownGroup).next()
    private val channels = DefaultChannelGroup(loop)
    private val links = HashMap<String, PeerLink>()
    private val inboxes = HashMap<PeerConnection, PeerInbox>()
    private var running: CoroutineScope? = null
    private lateinit var receive: suspend (PeerEnvelope) -> Unit

    /** Returns only once the address is free again. */
    override suspend fun run(receive: suspend (PeerEnvelope) -> Unit) {
        this.receive = receive
        try {
            coroutineScope {
                val server = await(listen()) { it.channel() }
                runOnLoop {
                    channels.add(server)
                    running = this
                    links.values.toList().forEach { it.flush() }
                }
                awaitCancellation()
            }
        } finally {
            withContext(NonCancellable) {
                closeAll()
                val shutdown = ownGroup?.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                shutdown?.let { future -> await(future) { } }
            }
        }
    }

    override fun send(
        address: String,
        envelope: PeerEnvelope,
    ) {
        val content = PeerCodec.encode(envelope)
        runOnLoop { link(address).send(content) }
    }

    private fun link(address: String): PeerLink = links.getOrPut(address) { PeerLink { connect(address) } }

    /** Closes all sockets. A socket is released only by the next round of the selector that it was registered with. */
    private suspend fun closeAll() =
        suspendCancellableCoroutine { continuation ->
            loop.execute {
                running = null
                channels.close().addListener {
                    loop.schedule({ continuation.resume(Unit) }, SELECTOR_ROUND_MS, TimeUnit.MILLISECONDS)
                }
            }
        }

    private fun listen() =
        ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(initializer { PeerConnection(null, owner) })
            .bind(socketAddress(ownAddress))

    private fun connect(address: String) {
        if (running == null) return links.getValue(address).unreachable()
        val target =
            try {
                socketAddress(address)
            } catch (error: IllegalArgumentException) {
                // A peer disseminated a malformed address.
                return failed(address, error)
            }
        val connection = PeerConnection(address, owner)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .handler(initializer { connection })
            .connect(target)
            .addListener { result ->
                if (result.isSuccess) {
                    connection.write(ownAddress.encodeToByteArray())
                    link(address).connected(connection)
                } else {
                    failed(address, result.cause())
                }
            }
    }

    private fun failed(
        address: String,
        cause: Throwable,
    ) {
        log(PeerEvents.LINK_FAILED, "$address: ${cause.message}")
        links.remove(address)?.unreachable()
    }

    private fun initializer(createConnection: () -> PeerConnection) =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channels.add(channel)
                channel.pipeline().addLast(
                    IdleStateHandler(0, IDLE_TIMEOUT.inWholeSeconds.toInt(), 0),
                    LengthFieldPrepender(PeerFrameDecoder.LENGTH_BYTES),
                    PeerFrameDecoder(),
                    createConnection(),
                )
            }
        }

    private val owner =
        object : PeerConnection.Owner {
            override fun identified(
                connection: PeerConnection,
                address: String,
            ) = link(address).connected(connection)

            override fun received(
                connection: PeerConnection,
                envelope: PeerEnvelope,
            ) {
                val scope = running ?: return
                inboxes.getOrPut(connection) { PeerInbox(connection, receive).also { scope.launch { it.run() } } }.add(
                    envelope,
                )
            }

            override fun writable(connection: PeerConnection) {
                connection.address?.let { links[it]?.flush() }
            }

            override fun malformed(
                connection: PeerConnection,
                reason: String,
            ) = log(PeerEvents.MALFORMED_FRAME, "${connection.address ?: "unknown peer"}: $reason")

            override fun closed(connection: PeerConnection) {
                inboxes.remove(connection)?.close()
                val address = connection.address ?: return
                val link = links[address] ?: return
                link.closed(connection)
                if (link.idle) links.remove(address)
            }
        }

    private suspend fun <F : Future<*>, T> await(
        future: F,
        value: (F) -> T,
    ): T =
        suspendCancellableCoroutine { continuation ->
            future.addListener {
                val cause = future.cause()
                if (cause == null) continuation.resume(value(future)) else continuation.resumeWithException(cause)
            }
        }

    private fun socketAddress(address: String): InetSocketAddress {
        val port = requireNotNull(address.substringAfterLast(':').toIntOrNull()) { "no port in $address" }
        return InetSocketAddress(address.substringBeforeLast(':'), port)
    }

    private fun runOnLoop(task: () -> Unit) {
        if (loop.inEventLoop()) {
            task()
        } else if (!loop.isShuttingDown) {
            loop.execute(task)
        }
    }

    private fun log(
        event: LogEvent,
        text: String,
    ) = logger.info { event.line(text) }

    companion object {
        /** Shorter than the time after which an unresponsive peer becomes suspect. */
        val CONNECT_TIMEOUT: Duration = 1.seconds

        /** Time limit for a connection whose peer does not read what was sent to it. */
        val WRITE_TIMEOUT: Duration = 2.seconds

        /** A connection is closed after this time without a message to send. */
        val IDLE_TIMEOUT: Duration = 10.minutes
        private const val SHUTDOWN_TIMEOUT_MS = 200L

        /** A task with any delay runs after the selector's next round. */
        private const val SELECTOR_ROUND_MS = 1L
    }
}
