package io.tarragonport.daemon.caller

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.tarragonport.daemon.dispatch.TokenSink
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/**
 * Server-sent events to one caller. The response starts with the first token, so that earlier failures can still be
 * reported with an HTTP status.
 *
 * Each token is written exactly once, even if the coroutine that passes it is cancelled while it waits: the token is
 * then sent with the next write.
 */
class StreamedResponse(
    private val call: ApplicationCall,
    private val scope: CoroutineScope,
    private val chunkPrefix: String,
    private val beforeStart: () -> Unit,
) : TokenSink {
    private val opened = CompletableDeferred<ByteWriteChannel>()
    private val ended = CompletableDeferred<Unit>()
    private val unwritten = StringBuilder()
    private var response: Job? = null

    /** True once the response was started. */
    val started: Boolean get() = response != null

    override suspend fun token(text: String) = write(ResponseFormat.chunk(chunkPrefix, text))

    /** Writes [text] and completes the response. */
    suspend fun end(text: String) {
        write(text)
        ended.complete(Unit)
        response?.join()
    }

    private suspend fun write(text: String) {
        unwritten.append(text)
        val channel = open()
        val chunks = unwritten.toString()
        unwritten.setLength(0)
        channel.writeStringUtf8(chunks)
        channel.flush()
    }

    private suspend fun open(): ByteWriteChannel {
        if (response == null) {
            beforeStart()
            response =
                scope.launch {
                    call.respondBytesWriter(ContentType.Text.EventStream) {
                        opened.complete(this)
                        ended.await()
                    }
                }
        }
        return opened.await()
    }
}
