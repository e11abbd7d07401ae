package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.tarragonport.api.backend.EngineRequest
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.dispatch.ChatTask
import io.tarragonport.daemon.dispatch.RequestHandle
import io.tarragonport.daemon.dispatch.RequestOutcome
import io.tarragonport.daemon.dispatch.TokenSink
import io.tarragonport.daemon.intent.RecordedResponse
import kotlinx.coroutines.coroutineScope
import java.util.Base64

/** Serves `POST /v1/chat/completions`. */
class ChatHandler(
    private val context: CallerContext,
    private val validator: RequestValidator,
    private val executor: PreparedRequestExecutor,
    private val atMostOnce: AtMostOnce,
    private val bodies: BodyReader,
) {
    suspend fun handle(
        call: ApplicationCall,
        ids: RequestValidator.Ids,
    ): Either<RequestError, Unit> =
        either {
            val configuration = validator.configuration().bind()
            val headers = call.request.headers
            val identity = validator.identity(configuration, headers).bind()
            val body = bodies.read(call).bind()
            val chat = ChatRequestReader.read(body).bind()
            val key = identity.key
            ensure(key == null || !contains(chat, key)) { RequestErrors.keyInside("body") }
            val draft =
                RequestDraft(
                    bodyDigest = Digests.of(body),
                    promptTokens = chat.estimatedPromptTokens,
                    maximumOutputTokens = chat.maximumOutputTokens,
                    model = chat.model,
                    messages = chat.messages,
                )
            val request =
                validator.prepare(configuration, PoolKind.MODEL, chat.model, identity, headers, ids, draft).bind()
            when {
                request.idempotencyKey != null -> respondAtMostOnce(call, request, chat).bind()
                chat.stream -> respondStreamed(call, request, chat).bind()
                else -> respondUnstreamed(call, request, chat).bind()
            }
        }

    private fun contains(
        chat: ChatRequest,
        key: CallerKey,
    ): Boolean = key.isIn(chat.model) || chat.messages.any { key.isIn(it.role) || key.isIn(it.content) }

    private suspend fun respondStreamed(
        call: ApplicationCall,
        request: PreparedRequest,
        chat: ChatRequest,
    ): Either<RequestError, Unit> =
        coroutineScope {
            var handle: RequestHandle? = null
            val chunkPrefix = ResponseFormat.chunkPrefix(request.visibleId, chat.model)
            val response =
                StreamedResponse(call, this, chunkPrefix) {
                    ResponseHeaders.setServerAndAttempts(call, handle, FIRST_ATTEMPT)
                }
            val task = task(request, chat, streamed = true, response)
            val result = executor.run(request, task) { handle = it }
            when {
                result is RequestOutcome.Completed ->
                    response.end(lastChunk(chunkPrefix, task) + ResponseFormat.DONE).right()

                result is RequestOutcome.Ended && response.started ->
                    response.end(ResponseFormat.errorEvent(result.error)).right()

                else -> (result as RequestOutcome.Ended).error.left()
            }
        }

    private suspend fun respondUnstreamed(
        call: ApplicationCall,
        request: PreparedRequest,
        chat: ChatRequest,
    ): Either<RequestError, Unit> {
        var handle: RequestHandle? = null
        val task = task(request, chat, streamed = false) {}
        val result = executor.run(request, task) { handle = it }
        ResponseHeaders.setServerAndAttempts(call, handle, result.attempts)
        if (result is RequestOutcome.Ended) return result.error.left()
        call.respondText(completionText(request, chat, task), ContentType.Application.Json)
        return Unit.right()
    }

    private suspend fun respondAtMostOnce(
        call: ApplicationCall,
        request: PreparedRequest,
        chat: ChatRequest,
    ): Either<RequestError, Unit> {
        val task = task(request, chat, streamed = false) {}
        val result =
            atMostOnce.run(request) { caller ->
                when (val result = executor.run(request, task, caller::submitted)) {
                    is RequestOutcome.Ended -> result.error.left()
                    is RequestOutcome.Completed -> recordedResponse(request, chat, task).right()
                }
            }
        if (!result.executedNow) executor.refund(request)
        return result.response.map { ResponseHeaders.respond(call, it) }
    }

    private fun task(
        request: PreparedRequest,
        chat: ChatRequest,
        streamed: Boolean,
        sink: TokenSink,
    ): ChatTask =
        ChatTask(
            engineRequest =
                EngineRequest(
                    model = chat.model,
                    messages = chat.messages,
                    maxTokens = chat.maximumOutputTokens,
                    temperature = chat.temperature,
                    requestId = request.pending.id,
                    priority = request.admission.requestClass.tier.value,
                ),
            streamed = streamed,
            sink = sink,
            client = context.client,
            dispatcher = context.executor.dispatcher,
            usage = context.usage,
            metrics = context.metrics,
            timeSource = context.timeSource,
            interruptible = request.idempotencyKey == null,
        )

    private fun lastChunk(
        chunkPrefix: String,
        task: ChatTask,
    ): String = ResponseFormat.lastChunk(chunkPrefix, task.finishReason, task.promptTokens, task.receivedTokens)

    private fun completionText(
        request: PreparedRequest,
        chat: ChatRequest,
        task: ChatTask,
    ): String =
        ResponseFormat.completion(
            request.visibleId,
            chat.model,
            task.text(),
            task.finishReason,
            task.promptTokens,
            task.receivedTokens,
        )

    /** The response to record, streamed or not as requested; a repeat has the same body and thus requests the same. */
    private fun recordedResponse(
        request: PreparedRequest,
        chat: ChatRequest,
        task: ChatTask,
    ): RecordedResponse {
        val chunkPrefix = ResponseFormat.chunkPrefix(request.visibleId, chat.model)
        val text =
            if (chat.stream) {
                ResponseFormat.chunk(chunkPrefix, task.text()) + lastChunk(chunkPrefix, task) + ResponseFormat.DONE
            } else {
                completionText(request, chat, task)
            }
        val type = if (chat.stream) ContentType.Text.EventStream else ContentType.Application.Json
        return RecordedResponse(OK, type.toString(), Base64.getEncoder().encodeToString(text.toByteArray()))
    }

    companion object {
        private const val OK = 200
        private const val FIRST_ATTEMPT = 1
    }
}
