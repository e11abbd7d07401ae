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

/** Asks VMs over HTTP. */
class HttpTraceSource(
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
                else -> "$callerAddress answered ${response.status}".left()
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: IOException) {
            "$callerAddress did not answer: ${exception.message}".left()
        } catch (exception: SerializationException) {
            "$callerAddress gave an answer that cannot be read: ${exception.message}".left()
        }
}
