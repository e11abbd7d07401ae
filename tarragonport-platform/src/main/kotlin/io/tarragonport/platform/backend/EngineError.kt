package io.tarragonport.platform.backend

import kotlinx.serialization.Serializable

/** Error of an engine; [kind] is `draining` if it is shutting down and accepts no new work. */
@Serializable
data class EngineError(
    val kind: String,
    val message: String = "",
) {
    companion object {
        /** Kind in the 503 response of a server that is draining. */
        const val DRAINING = "draining"
    }
}
