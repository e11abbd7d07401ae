package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies an order to a backend server or to the backend server interface; a retry carries the same id. */
@Serializable
@JvmInline
value class OrderId(
    val value: String,
) {
    override fun toString(): String = value
}
