package io.tarragonport.standin.platform

import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import java.io.IOException

/** A response that breaks the connection before it is complete. */
internal class DroppedResponse : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long = 1

    override suspend fun writeTo(channel: ByteWriteChannel): Unit =
        throw IOException("response dropped by an injected fault")
}
