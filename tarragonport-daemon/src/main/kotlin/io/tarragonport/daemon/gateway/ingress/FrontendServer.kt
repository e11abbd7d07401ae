package io.tarragonport.daemon.gateway.ingress

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.tarragonport.api.gateway.CallerLimits
import io.tarragonport.daemon.gateway.readAvailable
import java.net.InetSocketAddress

/** Accepts caller connections on the traffic thread. */
internal class FrontendServer(
    private val loop: EventLoop,
    private val requestHandler: RequestHandler,
    private val limits: () -> CallerLimits,
) {
    private var listeningChannel: Channel? = null

    /** Listens on [address] (`ip:port`). */
    fun start(address: String) {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                // Accepts all waiting connections in one round, so that none waits for longer than ArrivalClock assumes.
                .option(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG),
                ).childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until nothing is left, so that a caller's close is seen together with its last bytes.
                .childOption(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(BUFFERS_PER_READ),
                ).childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) = configurePipeline(channel)
                    },
                )
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        listeningChannel = bootstrap.bind(InetSocketAddress(host, port)).sync().channel()
    }

    /** Stops accepting connections after those that wait, because closing the socket would reset them. */
    fun stop() {
        listeningChannel?.readAvailable()
        listeningChannel?.close()
    }

    private fun configurePipeline(channel: Channel) {
        val currentLimits = limits()
        val encoder = CallerResponseEncoder()
        val connection = CallerConnection(currentLimits, encoder, requestHandler)
        channel.pipeline().addLast(
            BytesReceivedHandler(connection),
            StrictRequestDecoder(currentLimits),
            encoder,
            connection,
        )
    }

    private companion object {
        /** Queue length for connections not yet accepted: one second of new connections in a burst. */
        const val BACKLOG = 1024

        /** Buffers grow up to 64 KB, so this is more than a connection can have queued. */
        const val BUFFERS_PER_READ = 64
    }
}
