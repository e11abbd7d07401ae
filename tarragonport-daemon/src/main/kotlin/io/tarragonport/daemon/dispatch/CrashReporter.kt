package io.tarragonport.daemon.dispatch

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.PendingRequest

/** Takes note of backend server crashes; safe to call from any thread. */
fun interface CrashReporter {
    /**
     * [server] crashed while [request] was in flight. Returns once the request may run again: this VM and its peers know
     * of the crash.
     */
    suspend fun crashed(
        request: PendingRequest,
        server: BackendServerId,
    )

    /** For a VM without peers; the policy counts the crash when the run ends. */
    object None : CrashReporter {
        override suspend fun crashed(
            request: PendingRequest,
            server: BackendServerId,
        ) = Unit
    }
}
