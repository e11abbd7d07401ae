package io.tarragonport.daemon.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.dispatch.RequestHandle
import io.tarragonport.daemon.intent.RecordedResponse
import java.util.Base64

/** Writes response headers and bodies that all endpoints share. */
internal object ResponseHeaders {
    /** Sets the headers that name the server of [handle] and the number of attempts. */
    fun setServerAndAttempts(
        call: ApplicationCall,
        handle: RequestHandle?,
        attempts: Int,
    ) {
        handle?.server?.let { call.response.header(CallerHeaders.BACKEND_SERVER, it.value) }
        call.response.header(CallerHeaders.ATTEMPT, attempts.toString())
    }

    /** Responds with [error]; the connection is closed if the request body may be unread. */
    suspend fun refuse(
        call: ApplicationCall,
        error: RequestError,
    ) {
        error.retryAfterSeconds?.let { call.response.header(HttpHeaders.RetryAfter, it.toString()) }
        call.respondText(
            ResponseFormat.error(error),
            ContentType.Application.Json,
            HttpStatusCode.fromValue(error.kind.status),
        )
    }

    /** Responds with a recorded response. */
    suspend fun respond(
        call: ApplicationCall,
        response: RecordedResponse,
    ) = call.respondBytes(
        Base64.getDecoder().decode(response.bodyBase64),
        response.contentType.takeIf { it.isNotEmpty() }?.let(ContentType::parse),
        HttpStatusCode.fromValue(response.status),
    )
}
