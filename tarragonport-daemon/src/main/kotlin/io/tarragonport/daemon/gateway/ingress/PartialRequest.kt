package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpRequest

/** A request whose body is still being received. */
internal class PartialRequest(
    val request: HttpRequest,
    val host: String,
    val body: BodyAssembler,
)
