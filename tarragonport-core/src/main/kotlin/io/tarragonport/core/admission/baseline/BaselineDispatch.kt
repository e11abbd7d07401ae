package io.tarragonport.core.admission.baseline

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchPolicy
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.admission.QueuedRequestErrors
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.admission.SlotShare
import kotlin.time.TimeSource

/**
 * Common implementation of the baselines: one queue per pool in order of arrival, bounded by [queueBound], refusal once
 * the deadline has passed, and the same slot shares as [io.tarragonport.core.admission.TieredDispatch]. The baselines
 * differ only in [selector].
 */
internal class BaselineDispatch(
    private val clock: TimeSource.WithComparableMarks,
    private val queueBound: Int,
    private val name: String,
    private val selector: BaselineServerSelector,
) : DispatchPolicy {
    private val servers = LinkedHashMap<BackendServerId, BaselineServer>()
    private val queues = HashMap<PoolId, LinkedHashMap<RequestId, PendingRequest>>()
    private val running = HashMap<RequestId, BaselineServer>()
    private var releases = 0L

    override fun submit(request: PendingRequest): List<DispatchDecision> {
        val queue = queues.getOrPut(request.pool) { LinkedHashMap() }
        if (request.deadline <= clock.markNow()) {
            return listOf(deadlineRefusal(request))
        }
        queue[request.id] = request
        val started = startWaiting(request.pool)
        if (queue.size > queueBound && queue.remove(request.id) != null) {
            return started +
                QueuedRequestErrors.of(ErrorKind.OVERLOADED, "the queue of ${request.pool} is full", request)
        }
        return started
    }

    override fun progressed(
        request: RequestId,
        generatedTokens: Int,
    ) = Unit

    override fun finished(
        request: RequestId,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ): List<DispatchDecision> {
        val server = running.remove(request) ?: return emptyList()
        server.outstanding--
        releases++
        server.lastFreed = releases
        return startWaiting(server.status.pool)
    }

    override fun cancelled(request: RequestId): List<DispatchDecision> {
        queues.values.forEach { it.remove(request) }
        return emptyList()
    }

    override fun serversChanged(
        servers: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ): List<DispatchDecision> {
        val previous = this.servers.toMap()
        this.servers.clear()
        servers.forEachIndexed { position, status ->
            val ownSlots = SlotShare.of(status.slots, liveVms.size)
            val server = previous[status.id] ?: BaselineServer(status, ownSlots, position)
            server.status = status
            server.ownSlots = ownSlots
            server.position = position
            this.servers[status.id] = server
        }
        return queues.keys.toList().flatMap { startWaiting(it) }
    }

    override fun loadReported(report: LoadReport): List<DispatchDecision> = emptyList()

    override fun cacheChanged(
        server: BackendServerId,
        events: List<CacheEvent>,
    ) = Unit

    override fun tick(): List<DispatchDecision> {
        val now = clock.markNow()
        val refusals =
            queues.values.flatMap { queue ->
                val expired = queue.values.filter { it.deadline <= now }
                expired.forEach { queue.remove(it.id) }
                expired.map { deadlineRefusal(it) }
            }
        return refusals + queues.keys.toList().flatMap { startWaiting(it) }
    }

    private fun startWaiting(pool: PoolId): List<DispatchDecision> {
        val queue = queues[pool] ?: return emptyList()
        val decisions = ArrayList<DispatchDecision>()
        val waiting = queue.values.iterator()
        var free = freeServers(pool)
        while (waiting.hasNext() && free.isNotEmpty()) {
            val request = waiting.next()
            val allowed = allowedServers(request, free)
            if (allowed.isEmpty()) continue
            waiting.remove()
            decisions += start(request, allowed)
            free = free.filter { it.usable }
        }
        return decisions
    }

    private fun freeServers(pool: PoolId): List<BaselineServer> =
        servers.values.filter { it.status.pool == pool && it.usable }

    /** Servers of [free] on which [request] has not failed; all of [free] once it has failed on every server. */
    private fun allowedServers(
        request: PendingRequest,
        free: List<BaselineServer>,
    ): List<BaselineServer> {
        if (request.failedServers.isEmpty()) return free
        val untried = servers.values.any { it.status.pool == request.pool && it.status.id !in request.failedServers }
        return if (untried) free.filter { it.status.id !in request.failedServers } else free
    }

    private fun start(
        request: PendingRequest,
        allowed: List<BaselineServer>,
    ): DispatchDecision {
        val server = selector.choose(allowed)
        server.outstanding++
        running[request.id] = server
        return DispatchDecision.Start(request.id, server.status.id, allowed.map { it.status.id }, name)
    }

    private fun deadlineRefusal(request: PendingRequest): DispatchDecision =
        QueuedRequestErrors.of(ErrorKind.DEADLINE_UNREACHABLE, "the deadline passed before a slot was free", request)
}
