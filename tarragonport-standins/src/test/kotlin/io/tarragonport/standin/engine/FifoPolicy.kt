package io.tarragonport.standin.engine

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchPolicy
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.admission.ServerStatus

/** Minimal policy for tests of the traffic path: first come, first served, on the first server with a free slot. */
class FifoPolicy : DispatchPolicy {
    private val waiting = ArrayList<PendingRequest>()
    private val running = HashMap<RequestId, BackendServerId>()
    private var servers: List<ServerStatus> = emptyList()

    /** Start decisions so far, in order. */
    val starts = mutableListOf<DispatchDecision.Start>()

    /**
     * Preempts a stream for another request when its current attempt has generated one of these numbers of tokens.
     *
     * Each number is used once. An attempt is preempted at most once, because a second preemption is ignored until the
     * first has taken effect.
     */
    val preemptAtTokens = mutableSetOf<Int>()

    /** Preempts streams on leaving servers, so that they migrate to other servers. */
    var migrateFromLeavingServers = false
    private val preempted = HashSet<RequestId>()
    private val pendingPreemptions = mutableListOf<DispatchDecision>()
    val loadReports = mutableListOf<LoadReport>()

    override fun submit(request: PendingRequest): List<DispatchDecision> {
        waiting.add(request)
        return dispatch()
    }

    override fun progressed(
        request: RequestId,
        generatedTokens: Int,
    ) {
        val server = running[request] ?: return
        if (request in preempted || !preemptAtTokens.remove(generatedTokens)) return
        preempted += request
        pendingPreemptions += DispatchDecision.Preempt(request, server, HIGHER_TIER)
    }

    override fun finished(
        request: RequestId,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ): List<DispatchDecision> {
        checkNotNull(running.remove(request)) { "request $request is not running" }
        preempted -= request
        return dispatch()
    }

    override fun cancelled(request: RequestId): List<DispatchDecision> {
        check(waiting.removeIf { it.id == request }) { "request $request is not queued" }
        return emptyList()
    }

    override fun serversChanged(
        servers: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ): List<DispatchDecision> {
        this.servers = servers
        val leaving = servers.filter { it.leaving }.map { it.id }.toSet()
        val migrating = if (migrateFromLeavingServers) running.filterValues { it in leaving } else emptyMap()
        return migrating.map { (request, server) -> DispatchDecision.Preempt(request, server, request) } + dispatch()
    }

    override fun loadReported(report: LoadReport): List<DispatchDecision> {
        loadReports += report
        return emptyList()
    }

    override fun cacheChanged(
        server: BackendServerId,
        events: List<CacheEvent>,
    ) = Unit

    override fun tick(): List<DispatchDecision> = pendingPreemptions.toList().also { pendingPreemptions.clear() }

    private fun dispatch(): List<DispatchDecision> {
        val decisions = mutableListOf<DispatchDecision>()
        val iterator = waiting.iterator()
        while (iterator.hasNext()) {
            val request = iterator.next()
            val free = servers.filter { it.pool == request.pool && !it.leaving && runningOn(it) < it.slots }
            val hasUntriedServer = servers.any { it.pool == request.pool && it.id !in request.failedServers }
            val server = free.firstOrNull { !hasUntriedServer || it.id !in request.failedServers } ?: continue
            iterator.remove()
            running[request.id] = server.id
            decisions += DispatchDecision.Start(request.id, server.id, free.map { it.id }, "first free")
        }
        starts += decisions.filterIsInstance<DispatchDecision.Start>()
        return decisions
    }

    private fun runningOn(server: ServerStatus): Int = running.values.count { it == server.id }

    private companion object {
        val HIGHER_TIER = RequestId("higher-tier")
    }
}
