package io.tarragonport.api.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Format of the log lines. */
@Serializable
enum class LogFormat {
    @SerialName("json")
    JSON,

    @SerialName("text")
    TEXT,
}
