package io.tarragonport.daemon.gateway.ingress

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
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
                            channel.pipeline().addLast(
                                ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                                HttpServerCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_BODY_BYTES),
                                HttpObjectAggregator(MAXIMUM_BODY_BYTES),
                                requestHandler(),
                            )
                        }
                    },
                )
        val host = address.substringBeforeLast(':')
        listeningChannels +=
            bootstrap.bind(InetSocketAddress(host, address.substringAfterLast(':').toInt())).sync().channel()
    }

    private fun requestHandler() =
        object : SimpleChannelInboundHandler<FullHttpRequest>() {
            override fun channelRead0(
                context: ChannelHandlerContext,
                request: FullHttpRequest,
            ) {
                val result = handler(request.uri().substringBefore('?'))
                val body = Unpooled.copiedBuffer(result.text, Charsets.UTF_8)
                val response =
                    DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(result.status), body)
                HttpUtil.setContentLength(response, body.readableBytes().toLong())
                val keepAlive = HttpUtil.isKeepAlive(request)
                HttpUtil.setKeepAlive(response, keepAlive)
                val written = context.writeAndFlush(response)
                if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
            }

            override fun exceptionCaught(
                context: ChannelHandlerContext,
                cause: Throwable,
            ) {
                context.close()
            }
        }

    private companion object {
        /** Status requests are sent whole, each second or less often; others wait on a new connection. */
        const val READ_TIMEOUT_SECONDS = 15
        const val MAXIMUM_LINE_BYTES = 1024

        /** Probes send a few short headers. */
        const val MAXIMUM_HEADER_BYTES = 2048

        /** Status requests have no body. */
        const val MAXIMUM_BODY_BYTES = 1024
    }
}
