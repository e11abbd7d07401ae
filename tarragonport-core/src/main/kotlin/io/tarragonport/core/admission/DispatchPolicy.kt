package io.tarragonport.core.admission

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId

/**
 * Admission, scheduling and routing on one VM: each event returns the decisions that follow from it.
 *
 * Implementations do no I/O and read time only from the clock given to them. They are not thread-safe; the daemon calls
 * them under one lock, the policy benchmark from one thread. Every submitted request ends in exactly one of: a
 * [DispatchDecision.Refuse], a call of [finished] after its [DispatchDecision.Start], or a call of [cancelled].
 */
interface DispatchPolicy {
    /** A request arrived, or is submitted again after a preemption or a failed attempt. */
    fun submit(request: PendingRequest): List<DispatchDecision>

    /** The first or a further token arrived from the server that runs [request]. */
    fun progressed(
        request: RequestId,
        generatedTokens: Int,
    )

    /** The attempt of [request] ended; its slot is free. */
    fun finished(
        request: RequestId,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ): List<DispatchDecision>

    /** The caller of a waiting request disconnected. */
    fun cancelled(request: RequestId): List<DispatchDecision>

    /**
     * The set of servers changed; [servers] is the complete list and [liveVms] are the VMs that share them, including
     * this one.
     */
    fun serversChanged(
        servers: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ): List<DispatchDecision>

    /** A load report arrived. */
    fun loadReported(report: LoadReport): List<DispatchDecision>

    /** Cache events of [server] arrived. */
    fun cacheChanged(
        server: BackendServerId,
        events: List<CacheEvent>,
    )

    /** Refuses requests past their deadline and evaluates server health. Called at least every 100 ms. */
    fun tick(): List<DispatchDecision>
}
