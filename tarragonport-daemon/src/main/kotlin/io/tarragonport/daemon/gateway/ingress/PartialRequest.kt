package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpRequest
import io.tarragonport.api.gateway.CallerMetadata
import kotlin.time.ComparableTimeMark

/** A request whose body is still being received. */
internal class PartialRequest(
    val request: HttpRequest,
    val host: String,
    val body: BodyAssembler,
) {
    /** The complete request, which owns the body from now on. */
    fun complete(
        metadata: CallerMetadata,
        receivedAt: ComparableTimeMark,
    ) = CallerRequest(request.method(), request.uri(), host, request.headers(), body.take(), metadata, receivedAt)
}
