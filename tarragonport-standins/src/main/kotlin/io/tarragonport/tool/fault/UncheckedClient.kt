package io.tarragonport.tool.fault

import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.EngineEvent
import io.tarragonport.api.backend.EngineRequest
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map

/**
 * Disables the checks of resumed streams: starts every stream from its beginning and replaces the request ids and token
 * indexes from the engine by the expected ones.
 */
internal class UncheckedClient(
    private val client: BackendServerClient,
) : BackendServerClient by client {
    override fun generate(
        address: String,
        request: EngineRequest,
    ): Flow<EngineEvent> {
        var nextIndex = request.resume?.tokens ?: 0
        return client.generate(address, request.copy(resume = null)).map { event ->
            when (event) {
                is EngineEvent.Token -> event.copy(requestId = request.requestId, tokenIndex = nextIndex++)
                is EngineEvent.Finished -> event.copy(requestId = request.requestId, generatedTokens = nextIndex)
                is EngineEvent.Failed -> event
            }
        }
    }
}
