package io.tarragonport.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLPathPart
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.status.DecisionTrace
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.SerializationException
import java.io.IOException

/** Fetches traces from VMs over HTTP. */
class HttpTraceClient(
    private val client: HttpClient,
) : TraceClient {
    override suspend fun trace(
        callerAddress: String,
        request: RequestId,
    ): Either<String, DecisionTrace?> =
        try {
            val response = client.get("http://$callerAddress/operator/explain/${request.value.encodeURLPathPart()}")
            when (response.status) {
                HttpStatusCode.OK -> WireJson.decodeFromString<DecisionTrace>(response.bodyAsText()).right()
                HttpStatusCode.NotFound -> null.right()
                else -> "VM at $callerAddress: expected HTTP status 200 or 404, got ${response.status}".left()
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: IOException) {
            "VM at $callerAddress did not respond: ${exception.message}".left()
        } catch (exception: SerializationException) {
            "VM at $callerAddress sent a malformed response: ${exception.message}".left()
        }
}
