package io.tarragonport.platform

import io.ktor.http.ContentType
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import java.io.IOException

/**
 * A JSON request body that checks [permitted] once the connection is open, immediately before the body is written.
 *
 * If [permitted] returns false, no byte of the body is sent. The receiver then gets fewer bytes than `Content-Length`
 * announces and cannot process the request.
 */
internal class GuardedContent(
    json: String,
    private val permitted: () -> Boolean,
) : OutgoingContent.WriteChannelContent() {
    private val bytes = json.encodeToByteArray()

    override val contentType: ContentType = ContentType.Application.Json
    override val contentLength: Long = bytes.size.toLong()

    override suspend fun writeTo(channel: ByteWriteChannel) {
        if (!permitted()) {
            throw IOException("request body not sent: the operation is no longer permitted")
        }
        channel.writeFully(bytes)
        channel.flush()
    }
}
