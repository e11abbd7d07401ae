package io.tarragonport.daemon.gateway.egress

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.id.RequestId

/** A request as sent to a backend server; sending does not release [body], because further attempts need it. */
internal class OutgoingRequest(
    val id: RequestId?,
    val method: HttpMethod,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
)
