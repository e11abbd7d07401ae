package io.tarragonport.api.error

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request ran on a backend server. [NO] is used only if no byte of the request can have reached one. */
@Serializable
enum class ExecutionStatus {
    @SerialName("no")
    NO,

    @SerialName("yes")
    YES,

    @SerialName("unknown")
    UNKNOWN,
}
