package io.tarragonport.core.admission

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId

/**
 * Admission, scheduling and routing of one VM: takes events, returns decisions.
 *
 * Implementations do no I/O and read time only from the clock given to them. They are not thread-safe; the daemon calls
 * them under one lock, the policy bench from one thread. Every submitted request ends in exactly one of: a
 * [Decision.Refuse], a call of [finished] after its [Decision.Start], or a call of [cancelled].
 */
interface DispatchPolicy {
    /** A request arrived, or comes back after a preemption or a failed run. */
    fun submit(request: PendingRequest): List<Decision>

    /** The first or a further token arrived from the server that runs [request]. */
    fun progressed(
        request: RequestId,
        generatedTokens: Int,
    )

    /** The run of [request] ended; its slot is free. */
    fun finished(
        request: RequestId,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ): List<Decision>

    /** The caller of a waiting request went away. */
    fun cancelled(request: RequestId): List<Decision>

    /**
     * The servers that may be used changed; [servers] is the whole list and [liveVms] are the VMs that share them,
     * this one included.
     */
    fun serversChanged(
        servers: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ): List<Decision>

    /** A load report arrived. */
    fun loadReported(report: LoadReport): List<Decision>

    /** Cache events of [server] arrived. */
    fun cacheChanged(
        server: BackendServerId,
        events: List<CacheEvent>,
    )

    /** Time passed: expires deadlines and readmits ejected servers. Called at least every 100 ms. */
    fun tick(): List<Decision>
}
