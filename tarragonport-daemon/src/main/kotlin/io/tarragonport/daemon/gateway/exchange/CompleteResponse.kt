package io.tarragonport.daemon.gateway.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** A backend server's complete response. */
internal class CompleteResponse(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteBuf,
)
