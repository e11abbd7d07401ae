package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.tarragonport.api.error.RequestError
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration

/** Reads complete request bodies of at most [limitBytes] that arrive within [timeout]. */
class BodyReader(
    private val limitBytes: Long,
    private val timeout: Duration,
) {
    suspend fun read(call: ApplicationCall): Either<RequestError, ByteArray> =
        read(call.receiveChannel(), call.request.contentLength())

    /** Reads [channel]; [declaredLength] is the value of `Content-Length`, null without that header. */
    suspend fun read(
        channel: ByteReadChannel,
        declaredLength: Long?,
    ): Either<RequestError, ByteArray> {
        if (declaredLength != null && declaredLength > limitBytes) return RequestErrors.bodyTooLarge.left()
        return try {
            withTimeoutOrNull(timeout) { readAll(channel, declaredLength) } ?: RequestErrors.callerTooSlow.left()
        } catch (_: IOException) {
            RequestErrors.bodyIncomplete.left()
        }
    }

    private suspend fun readAll(
        channel: ByteReadChannel,
        declaredLength: Long?,
    ): Either<RequestError, ByteArray> {
        val body = ByteArrayOutputStream(declaredLength?.toInt() ?: BUFFER_BYTES)
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) break
            body.write(buffer, 0, count)
            if (body.size() > limitBytes) return RequestErrors.bodyTooLarge.left()
        }
        if (declaredLength != null && body.size() < declaredLength) return RequestErrors.bodyIncomplete.left()
        return body.toByteArray().right()
    }

    companion object {
        private const val BUFFER_BYTES = 4_096
    }
}
