package io.tarragonport.daemon.gateway.ingress

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.timeout.ReadTimeoutHandler
import java.net.InetSocketAddress

/**
 * Serves the readiness and metrics endpoints.
 *
 * It runs on the traffic thread, so that a process whose traffic thread is blocked does not report itself as ready.
 */
internal class StatusServer(
    private val loop: EventLoop,
    private val handler: (path: String) -> StatusResponse,
) {
    private val listeningChannels = mutableListOf<Channel>()

    /** Listens on [address] (`ip:port`). */
    fun start(address: String) {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            val decoder = GatedRequestDecoder(DECODER_CONFIG)
                            val encoder = CallerResponseEncoder()
                            channel.pipeline().addLast(
                                ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                                decoder,
                                encoder,
                                HttpObjectAggregator(MAXIMUM_BODY_BYTES),
                                StatusConnection(decoder, encoder, handler),
                            )
                        }
                    },
                )
        val host = address.substringBeforeLast(':')
        listeningChannels +=
            bootstrap.bind(InetSocketAddress(host, address.substringAfterLast(':').toInt())).sync().channel()
    }

    private companion object {
        /** Status requests are sent whole, each second or less often; others wait on a new connection. */
        const val READ_TIMEOUT_SECONDS = 15
        const val MAXIMUM_LINE_BYTES = 1024

        /** Probes send a few short headers. */
        const val MAXIMUM_HEADER_BYTES = 2048

        /** Status requests have no body. */
        const val MAXIMUM_BODY_BYTES = 1024

        val DECODER_CONFIG: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                .setMaxChunkSize(MAXIMUM_BODY_BYTES)
    }
}
