package io.tarragonport.api.status

import io.tarragonport.api.id.FencingToken
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A lease that the reporting VM holds. */
@Serializable
data class LeaseStatus(
    val name: String,
    @SerialName("fencingNumber")
    val fencingToken: FencingToken,
)
