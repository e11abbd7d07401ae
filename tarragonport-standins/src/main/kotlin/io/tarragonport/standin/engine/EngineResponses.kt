package io.tarragonport.standin.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.platform.backend.EngineError
import io.tarragonport.platform.backend.EngineErrorBody
import kotlinx.serialization.KSerializer

/** Responds with [value] as JSON. */
internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
) = respondText(WireJson.encodeToString(serializer, value), ContentType.Application.Json)

/** Responds with an error body in the format of model engines. */
internal suspend fun ApplicationCall.respondError(
    status: HttpStatusCode,
    kind: String,
) = respondText(
    WireJson.encodeToString(EngineErrorBody.serializer(), EngineErrorBody(EngineError(kind))),
    ContentType.Application.Json,
    status,
)
