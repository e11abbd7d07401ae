package io.tarragonport.api.error

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Whether a request ran on a backend server.
 *
 * [NO] is used only if no byte of the request can have reached one or, in the gateway, if every server that received it
 * stated that it did not run it.
 */
@Serializable
enum class ExecutionStatus {
    @SerialName("no")
    NO,

    @SerialName("yes")
    YES,

    @SerialName("unknown")
    UNKNOWN,
}
