package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Sends the response to one request; all calls come from the traffic thread. */
interface CallerChannel {
    /** Whether more bytes may be written now; if not, [InFlightRequest.callerWritable] is called when they may. */
    val writable: Boolean

    /** Sends a complete response. */
    fun respond(
        status: Int,
        headers: HttpHeaders,
        body: ByteBuf,
    )

    /** Starts a response of unknown length. */
    fun startResponse(
        status: Int,
        headers: HttpHeaders,
    )

    /** Sends the next bytes of a started response. */
    fun writeBytes(bytes: ByteBuf)

    /** Completes a started response. */
    fun endResponse()

    /** Closes the connection, so that the caller detects the response as incomplete. */
    fun abort()
}
