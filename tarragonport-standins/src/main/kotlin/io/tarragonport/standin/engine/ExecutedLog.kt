package io.tarragonport.standin.engine

import kotlinx.serialization.Serializable

/** Response of a service stand-in to `GET /control/received`; [refused] counts calls rejected without execution. */
@Serializable
data class ExecutedLog(
    val server: String,
    val executed: List<ExecutedCall>,
    val refused: Int,
)
