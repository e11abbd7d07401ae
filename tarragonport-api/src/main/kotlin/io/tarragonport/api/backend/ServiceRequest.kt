package io.tarragonport.api.backend

import io.tarragonport.api.id.RequestId

/** A request to a plain service; [headers] contains allowed headers only. */
class ServiceRequest(
    val method: String,
    val path: String,
    val headers: List<ServiceHeader>,
    val body: ByteArray,
    val requestId: RequestId,
)
