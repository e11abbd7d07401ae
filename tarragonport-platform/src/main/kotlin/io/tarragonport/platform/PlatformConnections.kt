package io.tarragonport.platform

import arrow.core.left
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.ssl.SslContext
import java.net.InetSocketAddress
import kotlin.time.Duration

/**
 * The connections to the platform at [address]; used on [loop] only.
 *
 * Repeatable calls share idle connections. Any other call opens a new one, because an idle connection that the platform
 * is closing would leave its outcome unknown. A connection can become silent without being closed, and then the others
 * have often become silent too; [discardIdle] closes them after a timeout.
 */
internal class PlatformConnections(
    private val loop: EventLoop,
    private val address: InetSocketAddress,
    private val connectTimeout: Duration,
    private val tls: SslContext?,
) {
    private val idle = ArrayDeque<PlatformConnection>()

    /** Sends [call] on an idle connection if it may be repeated, otherwise on a new one. */
    fun send(call: PendingCall) {
        if (call.cancelled) return
        val connection = if (call.repeatable) idle.removeLastOrNull() else null
        if (connection == null) connect(call) else transmit(call, connection, reused = true)
    }

    /** Closes all idle connections. */
    fun discardIdle() {
        val discarded = idle.toList()
        idle.clear()
        discarded.forEach { it.close() }
    }

    private fun connect(call: PendingCall) {
        val decoder = PlatformResponseDecoder()
        val connection = PlatformConnection(decoder, ::release, idle::remove)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        tls?.let { channel.pipeline().addLast(it.newHandler(channel.alloc())) }
                        channel.pipeline().addLast(
                            HttpRequestEncoder(),
                            decoder,
                            HttpObjectAggregator(MAXIMUM_BODY_BYTES),
                        )
                        channel.pipeline().addLast(connection)
                    }
                },
            ).connect(address)
            .addListener { result ->
                if (result.isSuccess) {
                    transmit(call, connection, reused = false)
                } else {
                    call.end((result.cause().message ?: "no connection").left())
                }
            }
    }

    private fun transmit(
        call: PendingCall,
        connection: PlatformConnection,
        reused: Boolean,
    ) {
        if (call.cancelled) return connection.close()
        val message = call.buildMessage()
        if (message == null) {
            connection.close()
            return call.end(NOT_PERMITTED.left())
        }
        call.connection = connection
        connection.send(message) { result ->
            // The platform may have closed an idle connection at the moment at which it was reused.
            if (result.isLeft() && reused) connect(call) else call.end(result)
        }
    }

    private fun release(connection: PlatformConnection) {
        if (idle.size < MAXIMUM_IDLE && connection.open) idle.addLast(connection) else connection.close()
    }

    companion object {
        const val NOT_PERMITTED = "not sent: the operation is no longer permitted"

        /** A list page holds up to a megabyte of values, which JSON escapes can enlarge. */
        private const val MAXIMUM_BODY_BYTES = 16 * 1024 * 1024

        /** Two watches and the calls between them. */
        private const val MAXIMUM_IDLE = 4
    }
}
