package io.tarragonport.api.backend

import arrow.core.Either
import io.tarragonport.api.id.RequestId
import kotlinx.coroutines.flow.Flow

/** Client for backend servers, which are addressed as `http://ip:port`. */
interface BackendServerClient {
    /**
     * Runs a chat request; the flow completes after [EngineEvent.Finished] or [EngineEvent.Failed]. Cancelling its
     * collection closes the connection.
     */
    fun generate(
        address: String,
        request: EngineRequest,
    ): Flow<EngineEvent>

    /** Cancels a request on the engine. */
    suspend fun cancel(
        address: String,
        requestId: RequestId,
    ): Either<BackendFailure, Unit>

    /** Reads the engine's load. */
    suspend fun load(address: String): Either<BackendFailure, LoadReport>

    /** Reads cache events after sequence number [after]. */
    suspend fun cacheEvents(
        address: String,
        after: Long,
    ): Either<BackendFailure, List<CacheEvent>>

    /** Makes the KV cache of a running stream available to other engines. */
    suspend fun exportCache(
        address: String,
        requestId: RequestId,
    ): Either<BackendFailure, CacheExport>

    /** Makes the engine fetch a KV cache from another engine. */
    suspend fun importCache(
        address: String,
        transfer: CacheImport,
    ): Either<BackendFailure, Unit>

    /**
     * Sends an order to the engine; status 409 means a stale fencing token. [permitted] is called when the connection
     * is open; if it returns false, nothing is written.
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
