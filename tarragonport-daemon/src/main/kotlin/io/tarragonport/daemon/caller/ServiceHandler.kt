package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.decodeURLQueryComponent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.tarragonport.api.backend.ServiceHeader
import io.tarragonport.api.backend.ServiceRequest
import io.tarragonport.api.backend.ServiceResponse
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.dispatch.RequestHandle
import io.tarragonport.daemon.dispatch.RequestOutcome
import io.tarragonport.daemon.dispatch.ServiceTask
import io.tarragonport.daemon.intent.RecordedResponse
import java.util.Base64

/** Serves `/v1/services/{service}/{path}` with any method and body. */
class ServiceHandler(
    private val context: CallerContext,
    private val validator: RequestValidator,
    private val executor: PreparedRequestExecutor,
    private val atMostOnce: AtMostOnce,
    private val bodies: BodyReader,
) {
    suspend fun handle(
        call: ApplicationCall,
        ids: RequestValidator.Ids,
    ): Either<RequestError, Unit> =
        either {
            val configuration = validator.configuration().bind()
            val headers = call.request.headers
            val identity = validator.identity(configuration, headers).bind()
            val (service, path) = split(call.request.uri)
            val method = call.request.httpMethod.value
            val key = identity.key
            ensure(key == null || !isInPath(path, key)) { RequestErrors.keyInside("path") }
            val body = bodies.read(call).bind()
            ensure(key == null || !key.isIn(body)) { RequestErrors.keyInside("body") }
            val forwarded = allowedHeaders(headers, key).bind()
            val digest = Digests.of(method.toByteArray(), path.toByteArray(), body)
            val draft = RequestDraft(digest, maximumOutputTokens = NO_TOKENS)
            val request =
                validator.prepare(configuration, PoolKind.SERVICE, service, identity, headers, ids, draft).bind()
            val serviceRequest = ServiceRequest(method, path, forwarded, body, request.pending.id)
            if (request.idempotencyKey != null) {
                respondAtMostOnce(call, request, serviceRequest).bind()
            } else {
                respondRepeatable(call, request, serviceRequest).bind()
            }
        }

    /** Splits [uri] into the service name and the remaining path with its query, unchanged. */
    private fun split(uri: String): Pair<String, String> {
        val rest = uri.removePrefix(PREFIX)
        val end = rest.indexOfFirst { it == '/' || it == '?' }
        if (end < 0) return rest to "/"
        val path = rest.substring(end)
        return rest.substring(0, end) to if (path.startsWith("/")) path else "/$path"
    }

    private fun isInPath(
        path: String,
        key: CallerKey,
    ): Boolean {
        val decoded =
            try {
                path.decodeURLQueryComponent()
            } catch (_: IllegalArgumentException) {
                path
            }
        return key.isIn(path) || key.isIn(decoded)
    }

    private fun allowedHeaders(
        headers: Headers,
        key: CallerKey?,
    ): Either<RequestError, List<ServiceHeader>> =
        either {
            val forwarded =
                headers
                    .entries()
                    .filter { (name, _) -> name.lowercase() in CallerHeaders.TO_SERVICE }
                    .flatMap { (name, values) -> values.map { ServiceHeader(name, it) } }
                    .filterNot { key != null && key.isIn(it.value) }
            val contentType = forwarded.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
            ensure(contentType == null || isContentType(contentType.value)) {
                RequestErrors.invalid("not a content type", HttpHeaders.ContentType)
            }
            forwarded
        }

    private fun isContentType(value: String): Boolean =
        try {
            ContentType.parse(value)
            true
        } catch (_: IllegalArgumentException) {
            false
        }

    private suspend fun respondRepeatable(
        call: ApplicationCall,
        request: PreparedRequest,
        serviceRequest: ServiceRequest,
    ): Either<RequestError, Unit> {
        var handle: RequestHandle? = null
        val task = ServiceTask(serviceRequest, context.client, context.usage, interruptible = true)
        val result = executor.run(request, task) { handle = it }
        ResponseHeaders.setServerAndAttempts(call, handle, result.attempts)
        if (result is RequestOutcome.Ended) return result.error.left()
        return respond(call, checkNotNull(task.response)).right()
    }

    private suspend fun respondAtMostOnce(
        call: ApplicationCall,
        request: PreparedRequest,
        serviceRequest: ServiceRequest,
    ): Either<RequestError, Unit> {
        val task = ServiceTask(serviceRequest, context.client, context.usage, interruptible = false)
        val result =
            atMostOnce.run(request) { caller ->
                when (val result = executor.run(request, task, caller::submitted)) {
                    is RequestOutcome.Ended -> result.error.left()
                    is RequestOutcome.Completed -> recordedResponse(checkNotNull(task.response)).right()
                }
            }
        if (!result.executedNow) executor.refund(request)
        return result.response.map { ResponseHeaders.respond(call, it) }
    }

    private fun recordedResponse(response: ServiceResponse): RecordedResponse =
        RecordedResponse(
            response.status,
            contentType(response).orEmpty(),
            Base64.getEncoder().encodeToString(response.body),
        )

    private fun contentType(response: ServiceResponse): String? =
        response.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }?.value

    private suspend fun respond(
        call: ApplicationCall,
        response: ServiceResponse,
    ) {
        response.headers
            .filter { it.name.lowercase() in CallerHeaders.FROM_SERVICE }
            .filterNot { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
            .forEach { call.response.header(it.name, it.value) }
        call.respondBytes(
            response.body,
            contentType(response)?.let(ContentType::parse),
            HttpStatusCode.fromValue(response.status),
        )
    }

    companion object {
        /** Plain services generate no tokens; without a maximum, the deadline check would estimate a token count. */
        private const val NO_TOKENS = 0

        const val PREFIX = "/v1/services/"
    }
}
