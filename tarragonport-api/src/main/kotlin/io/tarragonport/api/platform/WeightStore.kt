package io.tarragonport.api.platform

import arrow.core.Either
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FencingToken

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /**
     * Requests a transfer of [model] to [server]; [PlatformError.Rejected] with status 429 if the rate limit is
     * exceeded, [PlatformError.Refused] if the fencing token is stale or if [permitted], which is called immediately
     * before the request is written, returns false.
     */
    suspend fun transfer(
        model: String,
        server: BackendServerId,
        fencingToken: FencingToken,
        permitted: () -> Boolean = { true },
    ): Either<PlatformError, Unit>
}
