package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a request from arrival to response; sent to the backend server, which echoes it. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}
