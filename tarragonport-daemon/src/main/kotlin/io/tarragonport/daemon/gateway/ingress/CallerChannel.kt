package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** The answering side of one request; all calls come from the traffic thread. */
interface CallerChannel {
    /** Whether the caller takes more bytes now; [RequestTarget.writable] follows when it does again. */
    val writable: Boolean

    /** Sends a complete answer. */
    fun answer(
        status: Int,
        headers: HttpHeaders,
        body: ByteBuf,
    )

    /** Begins an answer of unknown length. */
    fun begin(
        status: Int,
        headers: HttpHeaders,
    )

    /** Sends the next bytes of an answer that has begun. */
    fun part(bytes: ByteBuf)

    /** Ends an answer that has begun as complete. */
    fun end()

    /** Closes the connection so that the answer is seen to be incomplete. */
    fun abort()
}
