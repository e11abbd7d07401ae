package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpRequest
import io.tarragonport.core.gateway.overload.BufferBudget
import io.tarragonport.core.gateway.overload.BufferHolder

/**
 * What one caller's connection holds in memory, within the budget of all connections.
 *
 * A request that is not complete, requests that were sent ahead, and a response that is not read, can be given up;
 * [onDiscard] ends the connection then. A complete request with nothing behind it is kept until its response.
 */
internal class CallerBuffers(
    private val budget: BufferBudget,
    private val onDiscard: () -> Unit,
) : BufferHolder {
    private var headBytes = 0
    private var bodyBytes = 0
    private var waitingBytes = 0
    private var unreadBytes = 0
    private var complete = false

    /** [bytes] of a head have arrived, which is not complete. */
    fun headReceived(bytes: Int) {
        headBytes = minOf(headBytes + bytes * BYTES_PER_HEAD_BYTE, MAXIMUM_HEAD_BYTES)
        update()
    }

    /** The head of [request] is complete. */
    fun headComplete(request: HttpRequest) {
        headBytes = cost(request)
        update()
    }

    /** The body that is being received takes [bytes]. */
    fun bodyHeld(bytes: Int) {
        bodyBytes = bytes
        update()
    }

    /** The request is complete and kept until its response. */
    fun requestComplete() {
        complete = true
        update()
    }

    /** The request and its response, or the connection, have ended. */
    fun requestEnded() {
        headBytes = 0
        bodyBytes = 0
        complete = false
        update()
    }

    /** [bytes] that have arrived are not decoded yet. */
    fun waiting(bytes: Int) {
        if (bytes == waitingBytes) return
        waitingBytes = bytes
        update()
    }

    /** [bytes] of responses wait until the caller reads. */
    fun unread(bytes: Long) {
        unreadBytes = bytes.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
        update()
    }

    /** The connection has ended. */
    fun clear() {
        waitingBytes = 0
        unreadBytes = 0
        requestEnded()
    }

    override fun discardBuffered() = onDiscard()

    private fun update() =
        budget.update(
            this,
            headBytes + bodyBytes + waitingBytes + unreadBytes,
            yields =
                !complete || unreadBytes > 0 || waitingBytes > 0,
        )

    private fun cost(request: HttpRequest): Int =
        BYTES_PER_REQUEST + request.uri().length + request.headers().size() * BYTES_PER_FIELD

    private companion object {
        /** Memory of a decoded request without fields: the message, its fields' container and its state here. */
        const val BYTES_PER_REQUEST = 1_000

        /** Memory of a decoded header field: the entry and two strings. */
        const val BYTES_PER_FIELD = 250

        /** A field can be four bytes long. */
        const val BYTES_PER_HEAD_BYTE = BYTES_PER_FIELD / 4
        const val MAXIMUM_HEAD_BYTES = BYTES_PER_FIELD * LimitedHeaders.MAXIMUM_FIELDS
    }
}
