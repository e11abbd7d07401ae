package io.tarragonport.daemon.gateway.ingress

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.tarragonport.api.gateway.CallerLimits
import java.net.InetSocketAddress

/** Accepts connections of callers on the traffic thread. */
internal class FrontendServer(
    private val loop: EventLoop,
    private val intake: RequestHandler,
    private val limits: () -> CallerLimits,
) {
    private var listening: Channel? = null

    /** Listens on [address] (`ip:port`). */
    fun start(address: String) {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) = prepare(channel)
                    },
                )
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        listening = bootstrap.bind(InetSocketAddress(host, port)).sync().channel()
    }

    /** Accepts no further connections. */
    fun stop() {
        listening?.close()
    }

    private fun prepare(channel: Channel) {
        val inForce = limits()
        val encoder = AnswerEncoder()
        val connection = CallerConnection(inForce, encoder, intake)
        channel.pipeline().addLast(ArrivalHandler(connection), StrictRequestDecoder(inForce), encoder, connection)
    }

    private companion object {
        /** Connections that wait to be accepted: a second of new connections in a burst. */
        const val BACKLOG = 1024
    }
}
