package io.tarragonport.daemon.dispatch

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.PendingRequest

/** Is notified of backend server crashes; safe to call from any thread. */
fun interface CrashReporter {
    /**
     * Reports that [server] crashed while [request] was in flight. Returns once the request may run again: when this VM
     * and its peers have recorded the crash.
     */
    suspend fun crashed(
        request: PendingRequest,
        server: BackendServerId,
    )

    /** For a VM without peers; the policy counts the crash when the attempt ends. */
    object None : CrashReporter {
        override suspend fun crashed(
            request: PendingRequest,
            server: BackendServerId,
        ) = Unit
    }
}
