package io.tarragonport.standin.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.tarragonport.api.backend.CacheExport
import io.tarragonport.api.backend.CacheExportRequest
import io.tarragonport.api.backend.CacheImport
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.RequestId
import io.tarragonport.platform.backend.PrefixBlocks
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** KV cache export and import of an engine stand-in; imported tokens are tracked by the request that will use them. */
internal class CacheTransfers(
    private val settings: EngineSettings,
    private val cache: EnginePrefixCache,
    private val generation: (RequestId) -> Generation?,
    private val crash: () -> Nothing,
) {
    private val importedTokens = ConcurrentHashMap<RequestId, Int>()
    private val importCounter = AtomicInteger()

    /** Number of completed imports. */
    val completedImports: Int get() = importCounter.get()

    /** Returns and clears the number of tokens imported for [request]; an import serves one execution. */
    fun consumeImport(request: RequestId): Int = importedTokens.remove(request) ?: 0

    /** The generated text depends on the prompt only, so an export carries token count and blocks but no KV data. */
    suspend fun export(
        call: ApplicationCall,
        faults: EngineFaults,
    ) {
        val id = WireJson.decodeFromString(CacheExportRequest.serializer(), call.receiveText()).requestId
        delay(faults.exportDelayMs)
        val generation = generation(id)
        if (generation == null || faults.failExport) {
            return call.respondError(HttpStatusCode.NotFound, "unknown_request")
        }
        val request = generation.request
        val outputTokens = (request.resume?.tokens ?: 0) + generation.generatedTokens
        val export =
            CacheExport(
                requestId = id,
                tokens = ExpectedCompletion.promptTokens(request.messages) + outputTokens,
                blocks = PrefixBlocks.of(request.model, request.messages),
                handle = settings.id,
            )
        call.respondJson(CacheExport.serializer(), export)
    }

    /** Simulates the transfer time of the tokens; no KV data is fetched. */
    suspend fun import(
        call: ApplicationCall,
        faults: EngineFaults,
    ) {
        val transfer = WireJson.decodeFromString(CacheImport.serializer(), call.receiveText())
        if (faults.crashAtImport) crash()
        delay(faults.importDelayMs + (transfer.export.tokens / settings.transferTokensPerSecond * 1e3).toLong())
        if (faults.failImport) return call.respondError(HttpStatusCode.BadGateway, "import_failed")
        cache.touch(transfer.export.blocks)
        recordImport(transfer)
        call.respondText("{}", ContentType.Application.Json)
    }

    private fun recordImport(transfer: CacheImport) {
        importedTokens[transfer.requestId] = transfer.export.tokens
        importCounter.incrementAndGet()
    }
}
