package io.tarragonport.api.backend

/** Why a call to a backend server did not succeed. */
sealed interface BackendFailure {
    /** The connection could not be opened, so no byte was written. */
    data class NotSent(
        val reason: String,
    ) : BackendFailure

    /**
     * The server responded with an error [status]; [draining] if it refuses new requests because it is shutting down.
     */
    data class Rejected(
        val status: Int,
        val message: String,
        val draining: Boolean,
    ) : BackendFailure

    /** The connection failed or timed out after bytes may have been written. */
    data class Interrupted(
        val reason: String,
    ) : BackendFailure
}
