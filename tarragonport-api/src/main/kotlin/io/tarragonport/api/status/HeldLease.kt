package io.tarragonport.api.status

import io.tarragonport.api.id.FencingNumber
import kotlinx.serialization.Serializable

/** A lease held by the reporting VM. */
@Serializable
data class HeldLease(
    val name: String,
    val fencingNumber: FencingNumber,
)
