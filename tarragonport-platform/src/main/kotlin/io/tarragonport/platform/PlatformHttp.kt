package io.tarragonport.platform

import arrow.core.Either
import arrow.core.left
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringEncoder
import io.netty.handler.ssl.SslContextBuilder
import io.netty.util.concurrent.DefaultThreadFactory
import io.tarragonport.api.platform.PlatformError
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import java.net.URI
import java.net.URLEncoder
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration

/**
 * Sends single HTTP calls to the platform at [baseUrl], without retries of calls that may have taken effect.
 *
 * A call without a complete response (connection refused, reset or timed out) gives [PlatformError.Unavailable].
 * Retries are left to the callers because whether a repeat is safe depends on the operation. Connections run on
 * [sharedLoop], or on a thread of their own if it is null.
 */
class PlatformHttp(
    baseUrl: String,
    val timeouts: PlatformTimeouts = PlatformTimeouts(),
    sharedLoop: EventLoop? = null,
) : AutoCloseable {
    private val base = URI(baseUrl)
    private val secure = base.scheme == "https"
    private val port =
        if (base.port >= 0) {
            base.port
        } else if (secure) {
            HTTPS_PORT
        } else {
            HTTP_PORT
        }
    private val ownGroup =
        if (sharedLoop == null) {
            MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("platform", true), NioIoHandler.newFactory())
        } else {
            null
        }
    private val loop: EventLoop = sharedLoop ?: checkNotNull(ownGroup).next()
    private val connections =
        PlatformConnections(
            loop,
            InetSocketAddress.createUnresolved(base.host, port),
            timeouts.connect,
            if (secure) SslContextBuilder.forClient().build() else null,
        )

    /** Calls [path], a list of unencoded segments, and reads the whole response within [limit]. */
    suspend fun call(
        method: HttpMethod,
        path: List<String>,
        limit: Duration = timeouts.call,
        configure: PlatformRequest.() -> Unit = {},
    ): Either<PlatformError.Unavailable, PlatformResponse> {
        val request = PlatformRequest().apply(configure)
        val result = withTimeoutOrNull(limit) { exchange(method, path, request) }
        if (result == null) runOnLoop { connections.discardIdle() }
        return (result ?: "no complete response within $limit".left()).mapLeft(PlatformError::Unavailable)
    }

    override fun close() {
        runOnLoop { connections.discardIdle() }
        ownGroup?.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private suspend fun exchange(
        method: HttpMethod,
        path: List<String>,
        request: PlatformRequest,
    ): Either<String, PlatformResponse> =
        suspendCancellableCoroutine { continuation ->
            val call =
                PendingCall(
                    repeatable = method == HttpMethod.GET,
                    buildMessage = { if (request.permitted()) message(method, path, request) else null },
                    complete = { continuation.resume(it) },
                )
            continuation.invokeOnCancellation { runOnLoop { call.cancel() } }
            runOnLoop { connections.send(call) }
        }

    private fun message(
        method: HttpMethod,
        path: List<String>,
        request: PlatformRequest,
    ): FullHttpRequest {
        val target = QueryStringEncoder(base.rawPath.trimEnd('/') + path.joinToString("") { "/" + encoded(it) })
        request.parameters.forEach { (name, value) -> target.addParam(name, value) }
        val body = request.body?.let { Unpooled.copiedBuffer(it, Charsets.UTF_8) } ?: Unpooled.EMPTY_BUFFER
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target.toString(), body)
        message.headers().set(HttpHeaderNames.HOST, "${base.host}:$port")
        message.headers().set(HttpHeaderNames.ACCEPT, HttpHeaderValues.APPLICATION_JSON)
        request.headers.forEach { (name, value) -> message.headers().add(name, value) }
        if (request.body != null) message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        if (request.body != null || method != HttpMethod.GET) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        return message
    }

    private fun encoded(segment: String): String = URLEncoder.encode(segment, Charsets.UTF_8).replace("+", "%20")

    private fun runOnLoop(task: () -> Unit) {
        if (loop.inEventLoop()) {
            task()
        } else if (!loop.isShuttingDown) {
            loop.execute(task)
        }
    }

    private companion object {
        const val HTTP_PORT = 80
        const val HTTPS_PORT = 443
        const val SHUTDOWN_TIMEOUT_MS = 200L
    }
}
