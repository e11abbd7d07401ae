package io.tarragonport.daemon.gateway.egress

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.tarragonport.api.gateway.RegisteredServer
import java.net.InetSocketAddress
import java.util.ArrayDeque
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** The connection pool of this VM for one incarnation of a backend server. */
internal class ServerConnectionPool(
    private val server: RegisteredServer,
    private val loop: EventLoop,
    private val clock: TimeSource.WithComparableMarks,
    private val inputReceived: () -> Unit,
    private val onUnexpectedInput: (RegisteredServer) -> Unit = {},
) {
    private val address = server.address.substringBeforeLast(':') to server.address.substringAfterLast(':').toInt()
    private val idle = ArrayDeque<ServerConnection>()
    private val open = mutableSetOf<ServerConnection>()
    private var connecting = 0

    /** Number of connections in use, idle or being opened. */
    val count: Int get() = open.size + connecting

    /** The connections whose end would be noticed. */
    fun observed(): List<ServerConnection> = open.filter { it.observed }

    /** Whether a request can be sent without exceeding [limit] connections. */
    fun available(limit: Int): Boolean = count < limit || idle.any { it.usable }

    /** Passes an idle or new connection to [use], or null if none can be opened. */
    fun acquire(use: (ServerConnection?) -> Unit) {
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            connection.readAvailable()
            if (connection.usable) return use(connection)
            connection.cancel()
        }
        connect(use)
    }

    /** Closes idle connections; connections in use are not affected. */
    fun retire() {
        idle.forEach { it.cancel() }
        idle.clear()
    }

    private fun connect(use: (ServerConnection?) -> Unit) {
        var connection: ServerConnection? = null
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            val decoder = ServerResponseDecoder()
                            val created =
                                ServerConnection(
                                    decoder,
                                    clock,
                                    inputReceived,
                                    { onUnexpectedInput(server) },
                                    ::onReleased,
                                    ::onClosed,
                                )
                            connection = created
                            channel.pipeline().addLast(HttpRequestEncoder(), decoder, created)
                        }
                    },
                )
        connecting++
        bootstrap.connect(InetSocketAddress(address.first, address.second)).addListener { result ->
            connecting--
            val opened = connection.takeIf { result.isSuccess }
            opened?.let(open::add)
            use(opened)
        }
    }

    private fun onReleased(connection: ServerConnection) {
        if (connection.usable) idle.addLast(connection) else connection.cancel()
    }

    private fun onClosed(connection: ServerConnection) {
        open -= connection
        idle.remove(connection)
    }

    companion object {
        /**
         * Servers in other failure domains accept within a few milliseconds, or after a retransmission if a packet is
         * lost.
         */
        val CONNECT_TIMEOUT: Duration = 600.milliseconds
        private val WATER_MARK = WriteBufferWaterMark(32 * 1024, 64 * 1024)
    }
}
