package io.tarragonport.api.platform

import arrow.core.Either
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FencingToken

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /**
     * Asks for a transfer of [model] to [server]; [PlatformError.Rejected] with status 429 if the rate is used up,
     * [PlatformError.Refused] if the fencing number is stale or [permitted], which is asked immediately before the call
     * is written, says no.
     */
    suspend fun transfer(
        model: String,
        server: BackendServerId,
        fencingToken: FencingToken,
        permitted: () -> Boolean = { true },
    ): Either<PlatformError, Unit>
}
