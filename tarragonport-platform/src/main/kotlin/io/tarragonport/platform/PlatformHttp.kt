package io.tarragonport.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.request
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.appendPathSegments
import io.ktor.http.takeFrom
import io.tarragonport.api.platform.PlatformError
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends single HTTP calls to the platform at [baseUrl], without retries.
 *
 * A call without a complete response (connection refused, reset or timed out) gives [PlatformError.Unavailable].
 * Retries are left to the callers because whether a repeat is safe depends on the operation.
 */
class PlatformHttp(
    private val baseUrl: String,
    val timeouts: PlatformTimeouts = PlatformTimeouts(),
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine {
                endpoint.connectTimeout = timeouts.connect.inWholeMilliseconds
                endpoint.connectAttempts = 1
            }
            install(HttpTimeout)
        }

    /** Calls [path], a list of unencoded segments, and reads the whole response within [limit]. */
    suspend fun call(
        method: HttpMethod,
        path: List<String>,
        limit: Duration = timeouts.call,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): Either<PlatformError.Unavailable, PlatformResponse> =
        try {
            val response =
                client.request {
                    this.method = method
                    url.takeFrom(baseUrl)
                    url.appendPathSegments(path)
                    timeout {
                        requestTimeoutMillis = limit.inWholeMilliseconds
                        connectTimeoutMillis = timeouts.connect.inWholeMilliseconds
                    }
                    configure()
                }
            val body = response.bodyAsText()
            val retryAfter = response.headers[HttpHeaders.RetryAfter]?.toLongOrNull()?.seconds
            PlatformResponse(response.status.value, response.headers[HttpHeaders.ETag], body, retryAfter).right()
        } catch (exception: CancellationException) {
            // The HTTP client can also raise this for its own failures; it is rethrown only if the caller is cancelled.
            currentCoroutineContext().ensureActive()
            unavailable(exception)
        } catch (exception: Exception) {
            unavailable(exception)
        }

    override fun close() = client.close()

    private fun unavailable(exception: Exception): Either<PlatformError.Unavailable, Nothing> {
        val reason = exception.message ?: exception::class.simpleName.orEmpty()
        return PlatformError.Unavailable(reason).left()
    }
}
