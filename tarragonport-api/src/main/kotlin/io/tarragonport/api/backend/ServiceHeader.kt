package io.tarragonport.api.backend

import kotlinx.serialization.Serializable

/** One HTTP header of a request to a plain service or of its response. */
@Serializable
data class ServiceHeader(
    val name: String,
    val value: String,
)
