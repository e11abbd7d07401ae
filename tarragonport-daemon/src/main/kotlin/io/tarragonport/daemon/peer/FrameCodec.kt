package io.tarragonport.daemon.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Frames on a peer connection: four bytes of length in big-endian order, then the content. */
internal object FrameCodec {
    /** Large enough for the largest configuration section (1 MB) with its escape sequences. */
    const val MAXIMUM_BYTES = 2 * 1024 * 1024

    /** Time limit for the content of a frame after its length was read. */
    val BODY_TIMEOUT: Duration = 5.seconds

    /** Reads one frame; the left side is the reason why the connection must be closed. */
    suspend fun read(channel: ByteReadChannel): Either<String, ByteArray> {
        val length = channel.readInt()
        if (length !in 1..MAXIMUM_BYTES) return "frame of $length bytes".left()
        val body = withTimeoutOrNull(BODY_TIMEOUT) { channel.readByteArray(length) }
        return body?.right() ?: "frame of $length bytes incomplete after $BODY_TIMEOUT".left()
    }

    suspend fun write(
        channel: ByteWriteChannel,
        content: ByteArray,
    ) {
        channel.writeInt(content.size)
        channel.writeFully(content)
        channel.flush()
    }
}
