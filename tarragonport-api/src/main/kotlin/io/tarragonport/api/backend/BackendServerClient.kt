package io.tarragonport.api.backend

import arrow.core.Either
import io.tarragonport.api.id.RequestId
import kotlinx.coroutines.flow.Flow

/** Speaks to backend servers by their address, `http://ip:port`. */
interface BackendServerClient {
    /**
     * Runs a chat request; the flow ends after [EngineEvent.Finished] or [EngineEvent.Failed]. Cancelling the flow
     * closes the connection.
     */
    fun generate(
        address: String,
        request: EngineRequest,
    ): Flow<EngineEvent>

    /** Tells the engine to stop working on a request. */
    suspend fun cancel(
        address: String,
        requestId: RequestId,
    ): Either<BackendFailure, Unit>

    /** Asks for the engine's load. */
    suspend fun load(address: String): Either<BackendFailure, LoadReport>

    /** Asks for cache events after sequence number [after]. */
    suspend fun cacheEvents(
        address: String,
        after: Long,
    ): Either<BackendFailure, List<CacheEvent>>

    /** Asks the engine to offer the KV cache of a running stream to other engines. */
    suspend fun exportCache(
        address: String,
        requestId: RequestId,
    ): Either<BackendFailure, CacheExport>

    /** Asks the engine to fetch a KV cache from another engine. */
    suspend fun importCache(
        address: String,
        transfer: CacheImport,
    ): Either<BackendFailure, Unit>

    /**
     * Gives an order to the engine; status 409 means an old fencing number. Nothing is written if [permitted], which is
     * asked when the connection is open, says no.
     */
    suspend fun order(
        address: String,
        order: ModelOrder,
        permitted: () -> Boolean = { true },
    ): Either<BackendFailure, Unit>

    /** Calls a plain service. */
    suspend fun call(
        address: String,
        request: ServiceRequest,
    ): Either<BackendFailure, ServiceResponse>
}
