package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchPolicy
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.admission.ServerStatus
import kotlin.time.TimeSource

/**
 * Calls the [policy] under one lock and passes its decisions to the coroutines that execute the requests.
 *
 * Ensures the contract of [DispatchPolicy]: each submitted request ends with exactly one [DispatchDecision.Refuse],
 * `finished` or `cancelled`, regardless of the order in which decisions, failures and caller disconnects occur.
 */
class Dispatcher(
    private val policy: DispatchPolicy,
    private val log: DecisionLog,
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val lock = Any()
    private val handles = HashMap<RequestId, RequestHandle>()
    private val unreachable = UnreachableServers(timeSource)
    private var servers: Map<BackendServerId, ServerStatus> = emptyMap()
    private var liveVms: Collection<VmId> = emptyList()
    private var preemptions = 0L
    private val unlogged = ArrayDeque<LoggedDecision>()

    /** Number of waiting and running requests. */
    val size: Int get() = synchronized(lock) { handles.size }

    /** Servers as of the last call of [serversChanged]. */
    val currentServers: Collection<ServerStatus> get() = synchronized(lock) { servers.values }

    /** Servers on which requests of this VM are running. */
    val runningServers: Set<BackendServerId>
        get() = synchronized(lock) { handles.values.mapNotNullTo(HashSet()) { it.server } }

    /** Numbers of waiting and running requests by pool and class. */
    fun counts(): List<RequestCount> =
        locked {
            handles.values.groupBy { it.request.pool to it.request.requestClass }.map { (key, group) ->
                val running = group.count { it.state == RequestState.RUNNING }
                RequestCount(key.first, key.second, waiting = group.size - running, running = running)
            }
        }

    /** True if the platform or a peer announced that [server] leaves; its termination is then not a crash. */
    fun isLeaveAnnounced(server: BackendServerId): Boolean =
        synchronized(lock) { servers[server]?.leaveAnnounced == true }

    /** Submits a new request to the policy. */
    fun submit(request: PendingRequest): RequestHandle =
        locked {
            val handle = RequestHandle(request)
            check(handles.put(request.id, handle) == null) { "request ${request.id} is submitted twice" }
            handle.state = RequestState.WAITING
            carryOut(policy.submit(request))
            handle
        }

    /** Ends the current attempt of [handle] and submits the request again, after a preemption or a failure. */
    fun resubmit(
        handle: RequestHandle,
        outcome: DispatchOutcome,
        generatedTokens: Int,
        request: PendingRequest,
    ) = locked {
        check(handle.state == RequestState.RUNNING) { "request ${request.id} is not running" }
        handle.state = RequestState.WAITING
        handle.server = null
        handle.request = request
        carryOut(policy.finished(request.id, outcome, generatedTokens))
        carryOut(policy.submit(request))
    }

    /** Removes [handle] from the dispatcher; a second call has no effect. */
    fun close(
        handle: RequestHandle,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ) = locked {
        val state = handle.state
        if (state == RequestState.ENDED) return@locked
        end(handle)
        val id = handle.request.id
        when (state) {
            RequestState.RUNNING -> carryOut(policy.finished(id, outcome, generatedTokens))
            else -> carryOut(policy.cancelled(id))
        }
    }

    /** Aborts the request with [error] as soon as its coroutine receives the signal. */
    fun abort(
        handle: RequestHandle,
        error: RequestError,
    ) = locked {
        if (handle.state == RequestState.ENDED || handle.abortError != null) return@locked
        handle.abortError = error
        handle.signals.trySend(DispatchSignal.End(error))
    }

    /** Like [abort], but has no effect and returns false if the request may have reached a server. */
    fun abortIfWaiting(
        handle: RequestHandle,
        error: RequestError,
    ): Boolean =
        locked {
            if (handle.state != RequestState.WAITING) return@locked false
            end(handle)
            handle.abortError = error
            carryOut(policy.cancelled(handle.request.id))
            handle.signals.trySend(DispatchSignal.End(error))
            true
        }

    fun progressed(
        request: RequestId,
        generatedTokens: Int,
    ) = locked { policy.progressed(request, generatedTokens) }

    fun serversChanged(
        servers: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ) = locked {
        this.servers = servers.associateBy { it.id }
        this.liveVms = liveVms
        announceServers()
    }

    /**
     * Excludes [server], to which a connection could not be opened, from new requests until it reports load or
     * [UnreachableServers.EXCLUSION_TIME] has passed. Otherwise a terminated engine would appear idle and be chosen
     * first for every request.
     */
    fun unreachable(server: BackendServerId) =
        locked {
            if (unreachable.add(server)) announceServers()
        }

    private fun announceServers() {
        val statuses = servers.values.map { if (it.id in unreachable) it.copy(leaving = true) else it }
        carryOut(policy.serversChanged(statuses, liveVms))
    }

    fun loadReported(report: LoadReport) =
        locked {
            if (unreachable.remove(report.server)) announceServers()
            carryOut(policy.loadReported(report))
        }

    fun cacheChanged(
        server: BackendServerId,
        events: List<CacheEvent>,
    ) = locked { policy.cacheChanged(server, events) }

    fun tick() =
        locked {
            if (unreachable.removeExpired()) announceServers()
            carryOut(policy.tick())
        }

    /** Runs [block] under the lock of the policy, for state that the policy shares, such as the crash history. */
    fun <T> withPolicy(block: () -> T): T = locked { block() }

    /**
     * Runs [block] under the lock and logs the resulting decisions after releasing it, so that slow log output does not
     * block other threads.
     */
    private fun <T> locked(block: () -> T): T {
        val decided: List<LoggedDecision>
        val result =
            synchronized(lock) {
                block().also {
                    decided = unlogged.toList()
                    unlogged.clear()
                }
            }
        decided.forEach { log.decided(it.request, it.decision) }
        return result
    }

    private fun carryOut(decisions: List<DispatchDecision>) = decisions.forEach(::carryOut)

    private fun carryOut(decision: DispatchDecision) {
        val handle = handles[decision.request] ?: return
        unlogged.addLast(LoggedDecision(handle.request, decision))
        when (decision) {
            is DispatchDecision.Start -> start(handle, decision)
            is DispatchDecision.Refuse -> refuse(handle, decision.error)
            is DispatchDecision.Preempt ->
                handle.signals.trySend(DispatchSignal.Preempt(decision.beneficiary, ++preemptions))
        }
    }

    private fun start(
        handle: RequestHandle,
        decision: DispatchDecision.Start,
    ) {
        check(handle.state == RequestState.WAITING) { "request ${decision.request} is not waiting" }
        handle.state = RequestState.RUNNING
        handle.server = decision.server
        val address = servers[decision.server]?.address
        if (address == null) {
            handle.signals.trySend(DispatchSignal.End(UNKNOWN_SERVER))
        } else {
            handle.signals.trySend(DispatchSignal.Start(decision.server, address))
        }
    }

    private fun refuse(
        handle: RequestHandle,
        error: RequestError,
    ) {
        end(handle)
        handle.signals.trySend(DispatchSignal.End(error))
    }

    private fun end(handle: RequestHandle) {
        handle.state = RequestState.ENDED
        handles.remove(handle.request.id)
    }

    private class LoggedDecision(
        val request: PendingRequest,
        val decision: DispatchDecision,
    )

    companion object {
        private val UNKNOWN_SERVER =
            RequestError(ErrorKind.NO_BACKEND_SERVER, "the chosen server is no longer known", ExecutionStatus.NO)
    }
}
