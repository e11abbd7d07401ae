package io.tarragonport.api.backend

/** The complete HTTP response of a plain service. */
class ServiceResponse(
    val status: Int,
    val headers: List<ServiceHeader>,
    val body: ByteArray,
)
