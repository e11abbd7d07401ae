package io.tarragonport.daemon.gateway.ingress

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.gateway.CallerMetadata
import kotlin.time.ComparableTimeMark

/** A complete request of a caller; [body] is released by whoever ends the request. */
class CallerRequest(
    val method: HttpMethod,
    val target: String,
    val host: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
    val metadata: CallerMetadata,
    val receivedAt: ComparableTimeMark,
) {
    /** The target without its query. */
    val path: String get() = target.substringBefore('?')
}
