package io.tarragonport.api.error

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Tells a caller whether its request ran on a backend server. [NO] only if no byte of it can have reached one. */
@Serializable
enum class ExecutionStatus {
    @SerialName("no")
    NO,

    @SerialName("yes")
    YES,

    @SerialName("unknown")
    UNKNOWN,
}
