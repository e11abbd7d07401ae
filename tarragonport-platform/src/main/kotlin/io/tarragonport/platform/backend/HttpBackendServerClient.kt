package io.tarragonport.platform.backend

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.FailToConnectException
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.content.TextContent
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.ktor.utils.io.readUTF8Line
import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.CacheExport
import io.tarragonport.api.backend.CacheExportRequest
import io.tarragonport.api.backend.CacheImport
import io.tarragonport.api.backend.EngineEvent
import io.tarragonport.api.backend.EngineRequest
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.backend.ModelOrder
import io.tarragonport.api.backend.ServiceHeader
import io.tarragonport.api.backend.ServiceRequest
import io.tarragonport.api.backend.ServiceResponse
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.RequestId
import io.tarragonport.platform.GuardedContent
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration

/**
 * HTTP client of model engines and plain services (Ktor CIO).
 *
 * Each request opens a new connection, so a failure to connect proves that no byte was sent; every later failure is
 * [BackendFailure.Interrupted]. Requests to engines carry only headers that this client sets; requests to services also
 * carry those in [ServiceRequest.headers].
 */
class HttpBackendServerClient(
    private val timeouts: BackendTimeouts = BackendTimeouts(),
) : BackendServerClient,
    AutoCloseable {
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine {
                maxConnectionsCount = MAXIMUM_CONNECTIONS
                requestTimeout = NO_TIMEOUT
                endpoint {
                    connectAttempts = 1
                    connectTimeout = timeouts.connect.inWholeMilliseconds
                    socketTimeout = timeouts.idle.inWholeMilliseconds
                    maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
                }
            }
        }

    override fun generate(
        address: String,
        request: EngineRequest,
    ): Flow<EngineEvent> =
        flow {
            val failure = collectStream(generateStatement(address, request)) { emit(it) }
            if (failure != null) emit(EngineEvent.Failed(failure))
        }

    private suspend fun generateStatement(
        address: String,
        request: EngineRequest,
    ): HttpStatement =
        http.preparePost("$address/v1/chat/completions") {
            header(HttpHeaders.Accept, ContentType.Text.EventStream.toString())
            header(REQUEST_ID, request.requestId.value)
            setBody(TextContent(WireJson.encodeToString(EngineRequest.serializer(), request), JSON))
        }

    /** Emits the events of a stream; returns the failure that ended it, null after the final chunk. */
    private suspend fun collectStream(
        statement: HttpStatement,
        emit: suspend (EngineEvent) -> Unit,
    ): BackendFailure? {
        // True while the collector of the flow runs. Its exceptions are rethrown and not reported as backend failures.
        var emitting = false
        return try {
            statement.execute { response ->
                if (!response.status.isSuccess()) return@execute rejection(response)
                readEvents(response) {
                    emitting = true
                    emit(it)
                    emitting = false
                }
            }
        } catch (cause: CancellationException) {
            // The HTTP client can also raise this for its own failures; it is rethrown only if the caller is cancelled.
            currentCoroutineContext().ensureActive()
            if (emitting) throw cause
            BackendFailure.Interrupted(reason(cause))
        } catch (cause: Exception) {
            if (emitting) throw cause
            failure(cause)
        }
    }

    private suspend fun readEvents(
        response: HttpResponse,
        emit: suspend (EngineEvent) -> Unit,
    ): BackendFailure? {
        val channel = response.bodyAsChannel()
        while (true) {
            val line =
                channel.readUTF8Line(MAXIMUM_LINE_CHARACTERS)
                    ?: return BackendFailure.Interrupted("stream ended early")
            val event = EngineStreamParser.parse(line) ?: continue
            emit(event)
            if (event is EngineEvent.Finished) return null
        }
    }

    override suspend fun cancel(
        address: String,
        requestId: RequestId,
    ): Either<BackendFailure, Unit> =
        exchange(timeouts.call, {
            method = HttpMethod.Post
            url("$address/v1/requests/${requestId.value.encodeURLPathPart()}/cancel")
        }) { }

    override suspend fun load(address: String): Either<BackendFailure, LoadReport> =
        exchange(timeouts.call, { url("$address/v1/load") }) {
            WireJson.decodeFromString(LoadReport.serializer(), it.bodyAsText())
        }

    override suspend fun cacheEvents(
        address: String,
        after: Long,
    ): Either<BackendFailure, List<CacheEvent>> =
        exchange(timeouts.call, { url("$address/v1/cache/events?after=$after") }) {
            WireJson.decodeFromString(ListSerializer(CacheEvent.serializer()), it.bodyAsText())
        }

    override suspend fun exportCache(
        address: String,
        requestId: RequestId,
    ): Either<BackendFailure, CacheExport> =
        exchange(timeouts.call, {
            method = HttpMethod.Post
            url("$address/v1/kv/export")
            val body = CacheExportRequest(requestId)
            setBody(TextContent(WireJson.encodeToString(CacheExportRequest.serializer(), body), JSON))
        }) { WireJson.decodeFromString(CacheExport.serializer(), it.bodyAsText()) }

    override suspend fun importCache(
        address: String,
        transfer: CacheImport,
    ): Either<BackendFailure, Unit> =
        exchange(timeouts.call, {
            method = HttpMethod.Post
            url("$address/v1/kv/import")
            setBody(TextContent(WireJson.encodeToString(CacheImport.serializer(), transfer), JSON))
        }) { }

    override suspend fun order(
        address: String,
        order: ModelOrder,
        permitted: () -> Boolean,
    ): Either<BackendFailure, Unit> =
        exchange(timeouts.order, {
            method = HttpMethod.Post
            url("$address/v1/orders")
            setBody(GuardedContent(WireJson.encodeToString(ModelOrder.serializer(), order), permitted))
        }) { }

    /** Returns the response of the service whatever its status; only a 503 of kind `draining` is a failure. */
    override suspend fun call(
        address: String,
        request: ServiceRequest,
    ): Either<BackendFailure, ServiceResponse> =
        withTimeLimit(timeouts.service) {
            http.prepareRequest { serviceRequest(address, request) }.execute { response ->
                val serviceResponse = ServiceResponse(response.status.value, headers(response), response.bodyAsBytes())
                if (isDraining(serviceResponse)) draining().left() else serviceResponse.right()
            }
        }

    private fun HttpRequestBuilder.serviceRequest(
        address: String,
        request: ServiceRequest,
    ) {
        method = HttpMethod.parse(request.method)
        url(address + request.path)
        header(REQUEST_ID, request.requestId.value)
        val contentType = request.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
        request.headers.filter { it !== contentType }.forEach { header(it.name, it.value) }
        if (request.body.isNotEmpty() || contentType != null) {
            setBody(ByteArrayContent(request.body, contentType?.let { ContentType.parse(it.value) }))
        }
    }

    private fun headers(response: HttpResponse): List<ServiceHeader> =
        response.headers.entries().flatMap { (name, values) -> values.map { ServiceHeader(name, it) } }

    private fun isDraining(serviceResponse: ServiceResponse): Boolean =
        serviceResponse.status == SERVICE_UNAVAILABLE &&
            parseError(serviceResponse.body.decodeToString())?.kind == EngineError.DRAINING

    private suspend fun <T> exchange(
        limit: Duration,
        build: HttpRequestBuilder.() -> Unit,
        read: suspend (HttpResponse) -> T,
    ): Either<BackendFailure, T> =
        withTimeLimit(limit) {
            http.prepareRequest(build).execute { response ->
                if (response.status.isSuccess()) read(response).right() else rejection(response).left()
            }
        }

    private suspend fun <T> withTimeLimit(
        limit: Duration,
        block: suspend () -> Either<BackendFailure, T>,
    ): Either<BackendFailure, T> =
        try {
            withTimeoutOrNull(limit) { block() } ?: BackendFailure.Interrupted("no answer within $limit").left()
        } catch (cause: CancellationException) {
            currentCoroutineContext().ensureActive()
            BackendFailure.Interrupted(reason(cause)).left()
        } catch (cause: Exception) {
            failure(cause).left()
        }

    private suspend fun rejection(response: HttpResponse): BackendFailure {
        val error = parseError(response.bodyAsText())
        val draining = response.status.value == SERVICE_UNAVAILABLE && error?.kind == EngineError.DRAINING
        return BackendFailure.Rejected(response.status.value, error?.message.orEmpty(), draining)
    }

    private fun draining() = BackendFailure.Rejected(SERVICE_UNAVAILABLE, "server is leaving", draining = true)

    private fun parseError(body: String): EngineError? =
        try {
            WireJson.decodeFromString(EngineErrorBody.serializer(), body).error
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

    /** Only errors that the HTTP client raises before a connection is open count as [BackendFailure.NotSent]. */
    private fun failure(cause: Exception): BackendFailure =
        when (cause) {
            is ConnectTimeoutException,
            is FailToConnectException,
            is ConnectException,
            is UnresolvedAddressException,
            -> BackendFailure.NotSent(reason(cause))

            is IOException, is SerializationException -> BackendFailure.Interrupted(reason(cause))

            else -> BackendFailure.Interrupted(reason(cause))
        }

    private fun reason(cause: Exception): String = cause.message ?: cause.javaClass.simpleName

    override fun close() = http.close()

    companion object {
        /** Header with the request id in requests to backend servers. */
        const val REQUEST_ID = "X-Request-Id"

        private const val MAXIMUM_CONNECTIONS = 10_000
        private const val NO_TIMEOUT = 0L
        private const val SERVICE_UNAVAILABLE = 503

        /** Far more than a chunk with one token needs; limits the memory for malformed streams. */
        private const val MAXIMUM_LINE_CHARACTERS = 1 shl 20
        private val JSON = ContentType.Application.Json
    }
}
