package io.tarragonport.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.WeightStore
import java.util.concurrent.atomic.AtomicBoolean

/** HTTP client of the platform's store of model weights. */
class HttpWeightStore(
    private val http: PlatformHttp,
) : WeightStore {
    override suspend fun transfer(
        model: String,
        server: BackendServerId,
        fencingToken: FencingToken,
        permitted: () -> Boolean,
    ): Either<PlatformError, Unit> {
        val body = WireJson.encodeToString(TransferRequest.serializer(), TransferRequest(server, fencingToken))
        val withheld = AtomicBoolean(false)
        val response =
            http.call(HttpMethod.POST, listOf("weights", model, "transfers")) {
                json(body)
                onlyIf { permitted().also { withheld.set(!it) } }
            }
        if (withheld.get()) {
            val reason = "transfer of $model to $server was not sent: the remaining lease validity is too short"
            return PlatformError.Refused(reason).left()
        }
        return response.flatMap {
            if (it.status == PlatformResponse.CONFLICT) PlatformError.Refused(it.body).left() else it.acknowledge()
        }
    }
}
