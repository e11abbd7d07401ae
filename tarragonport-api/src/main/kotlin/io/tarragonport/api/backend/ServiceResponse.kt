package io.tarragonport.api.backend

/** A plain service's whole answer. */
class ServiceResponse(
    val status: Int,
    val headers: List<ServiceHeader>,
    val body: ByteArray,
)
