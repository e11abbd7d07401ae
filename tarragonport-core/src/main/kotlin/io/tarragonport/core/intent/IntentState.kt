package io.tarragonport.core.intent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a recorded claim; a released claim has no record. */
@Serializable
enum class IntentState {
    /** The request may have been sent; its outcome is not recorded. */
    @SerialName("started")
    STARTED,

    /** The response is recorded. */
    @SerialName("finished")
    FINISHED,
}
