package io.tarragonport.platform

import arrow.core.Either
import io.netty.handler.codec.http.FullHttpRequest

/**
 * One call that waits for its response; used on the event loop only.
 *
 * [buildMessage] returns the message to send, or null if the call is no longer permitted. [complete] is called exactly
 * once unless the call is cancelled.
 */
internal class PendingCall(
    val repeatable: Boolean,
    val buildMessage: () -> FullHttpRequest?,
    private val complete: (Either<String, PlatformResponse>) -> Unit,
) {
    private var ended = false

    /** The connection on which the call was sent. */
    var connection: PlatformConnection? = null

    val cancelled: Boolean get() = ended

    /** Passes on the response or the reason why there is none. */
    fun end(result: Either<String, PlatformResponse>) {
        if (ended) return
        ended = true
        complete(result)
    }

    /** Closes the connection of the call, so that a late response cannot be taken for that of another call. */
    fun cancel() {
        ended = true
        connection?.close()
    }
}
