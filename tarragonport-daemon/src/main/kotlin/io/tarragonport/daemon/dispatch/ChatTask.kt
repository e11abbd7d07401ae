package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.CacheExport
import io.tarragonport.api.backend.CacheImport
import io.tarragonport.api.backend.EngineEvent
import io.tarragonport.api.backend.EngineRequest
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.retry.AttemptFailure
import io.tarragonport.daemon.usage.UsageMeter
import kotlinx.coroutines.flow.firstOrNull
import kotlin.time.TimeSource

/**
 * Runs a chat on model engines: validates every chunk, meters tokens and passes them to [sink] as they arrive.
 *
 * Each attempt has its own engine request id, so late chunks and late cancels of an earlier attempt cannot be mistaken
 * for those of the current one. With [streamed] the caller receives tokens at once, else only the complete response.
 * [interruptible] is false for chats that must not be repeated.
 */
class ChatTask(
    private val engineRequest: EngineRequest,
    private val streamed: Boolean,
    private val sink: TokenSink,
    private val client: BackendServerClient,
    private val dispatcher: Dispatcher,
    private val usage: UsageMeter,
    private val metrics: TrafficMetrics,
    private val timeSource: TimeSource,
    override val interruptible: Boolean,
) : RequestTask {
    private val response = ResponseAssembler()
    private val latency = TokenLatency()
    private var promptMetered = false

    override fun metLatencyObjectives(request: PendingRequest): Boolean = latency.meets(request.requestClass)

    /** Finish reason reported by the engine; set on completion. */
    var finishReason = ""
        private set

    /** Prompt tokens as counted by the engine; 0 until the final chunk. */
    var promptTokens = 0
        private set

    override val receivedTokens: Int get() = response.tokens
    override val deliveredTokens: Int get() = if (streamed) response.tokens else 0

    /** The response text so far. */
    fun text(): String = response.text()

    override suspend fun runOn(
        address: String,
        request: PendingRequest,
        attempt: Int,
    ): AttemptResult {
        val id = engineId(request, attempt)
        response.expect(id)
        val attemptRequest = engineRequest.copy(requestId = id, resume = response.resumePosition(), stream = true)
        var result: AttemptResult? = null
        var responded = false
        try {
            client.generate(address, attemptRequest).firstOrNull { event ->
                responded = responded || event !is EngineEvent.Failed
                result = handle(event, request)
                result != null
            }
        } finally {
            if (responded) meterPrompt(request, promptTokens)
        }
        return result ?: AttemptResult.Failed(AttemptFailure.INTERRUPTED, "stream ended without its final chunk")
    }

    private suspend fun handle(
        event: EngineEvent,
        request: PendingRequest,
    ): AttemptResult? =
        when (event) {
            is EngineEvent.Token -> token(event, request)
            is EngineEvent.Finished -> finished(event, request)
            is EngineEvent.Failed -> BackendFailures.result(event.failure)
        }

    private suspend fun token(
        event: EngineEvent.Token,
        request: PendingRequest,
    ): AttemptResult? =
        when (val verdict = response.token(event)) {
            Verdict.Drop -> null
            is Verdict.Violation -> AttemptResult.Failed(AttemptFailure.INCORRECT_ANSWER, verdict.reason)
            Verdict.Deliver -> {
                observe(request)
                sink.token(event.text)
                null
            }
        }

    private fun observe(request: PendingRequest) {
        val requestClass = request.requestClass.id
        usage.add(request.organisation, 0, 1, 0)
        dispatcher.progressed(request.id, response.tokens - request.resumedTokens)
        metrics.token(requestClass)
        val gap = latency.token(request.arrival, timeSource.markNow())
        if (gap == null) {
            metrics.firstToken(requestClass, request.arrival.elapsedNow())
        } else {
            metrics.betweenTokens(requestClass, gap)
        }
    }

    private fun finished(
        event: EngineEvent.Finished,
        request: PendingRequest,
    ): AttemptResult =
        when (val verdict = response.finished(event)) {
            is Verdict.Violation -> AttemptResult.Failed(AttemptFailure.INCORRECT_ANSWER, verdict.reason)
            else -> {
                finishReason = event.finishReason
                promptTokens = event.promptTokens
                meterPrompt(request, event.promptTokens)
                AttemptResult.Completed
            }
        }

    /** Meters the request and its prompt once, with the engine's token count if it reported one. */
    private fun meterPrompt(
        request: PendingRequest,
        engineCount: Int,
    ) {
        if (promptMetered) return
        promptMetered = true
        val prompt = if (engineCount > 0) engineCount else request.promptTokens
        usage.add(request.organisation, prompt.toLong(), 0, 1)
    }

    override suspend fun cancel(
        address: String,
        request: PendingRequest,
        attempt: Int,
    ) {
        client.cancel(address, engineId(request, attempt))
    }

    override suspend fun exportCache(
        address: String,
        request: PendingRequest,
        attempt: Int,
    ): CacheExport? = client.exportCache(address, engineId(request, attempt)).getOrNull()

    override suspend fun importCache(
        address: String,
        request: PendingRequest,
        attempt: Int,
        exported: ExportedCache,
    ): Boolean {
        val transfer = CacheImport(engineId(request, attempt), exported.source, exported.export)
        return client.importCache(address, transfer).isRight()
    }

    override suspend fun hasCrashed(address: String): Boolean = CrashCheck(client).hasCrashed(address)

    override fun restart() = response.restart()

    private fun engineId(
        request: PendingRequest,
        attempt: Int,
    ): RequestId = if (attempt == 1) request.id else RequestId("${request.id}.$attempt")
}
