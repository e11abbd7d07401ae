package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.Decision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchPolicy
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.admission.ServerStatus
import kotlin.time.TimeSource

/**
 * Calls the [policy] under one lock and hands its decisions to the coroutines that carry the requests.
 *
 * Keeps the contract of [DispatchPolicy]: each submitted request ends in exactly one refusal, `finished` or
 * `cancelled`, whatever the order of decisions, failures and vanishing callers.
 */
class Dispatcher(
    private val policy: DispatchPolicy,
    private val log: DecisionLog,
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val lock = Any()
    private val tickets = HashMap<RequestId, Ticket>()
    private val unreachable = UnreachableServers(timeSource)
    private var servers: Map<BackendServerId, ServerStatus> = emptyMap()
    private var liveVms: Collection<VmId> = emptyList()
    private var preemptions = 0L
    private val unlogged = ArrayDeque<LoggedDecision>()

    /** Number of requests that wait or run. */
    val size: Int get() = synchronized(lock) { tickets.size }

    /** Servers as last given to [serversChanged]. */
    val currentServers: Collection<ServerStatus> get() = synchronized(lock) { servers.values }

    /** Servers that run requests of this VM. */
    val runningServers: Set<BackendServerId>
        get() = synchronized(lock) { tickets.values.mapNotNullTo(HashSet()) { it.server } }

    /** Requests that wait or run, by pool and class. */
    fun counts(): List<TicketCount> =
        locked {
            tickets.values.groupBy { it.request.pool to it.request.requestClass }.map { (key, group) ->
                val running = group.count { it.state == TicketState.RUNNING }
                TicketCount(key.first, key.second, waiting = group.size - running, running = running)
            }
        }

    /** True if the platform or a peer announced that [server] leaves; its end is then no crash. */
    fun isLeaveAnnounced(server: BackendServerId): Boolean =
        synchronized(lock) { servers[server]?.leaveAnnounced == true }

    /** Hands a new request to the policy. */
    fun submit(request: PendingRequest): Ticket =
        locked {
            val ticket = Ticket(request)
            check(tickets.put(request.id, ticket) == null) { "request ${request.id} is submitted twice" }
            ticket.state = TicketState.WAITING
            carryOut(policy.submit(request))
            ticket
        }

    /** Ends the run of [ticket] and submits it again, after a preemption or a failure. */
    fun resubmit(
        ticket: Ticket,
        outcome: DispatchOutcome,
        generatedTokens: Int,
        request: PendingRequest,
    ) = locked {
        check(ticket.state == TicketState.RUNNING) { "request ${request.id} does not run" }
        ticket.state = TicketState.WAITING
        ticket.server = null
        ticket.request = request
        carryOut(policy.finished(request.id, outcome, generatedTokens))
        carryOut(policy.submit(request))
    }

    /** Ends [ticket] for good; a second call has no effect. */
    fun close(
        ticket: Ticket,
        outcome: DispatchOutcome,
        generatedTokens: Int,
    ) = locked {
        val state = ticket.state
        if (state == TicketState.ENDED) return@locked
        end(ticket)
        val id = ticket.request.id
        when (state) {
            TicketState.RUNNING -> carryOut(policy.finished(id, outcome, generatedTokens))
            else -> carryOut(policy.cancelled(id))
        }
    }

    /** Ends the request with [error] as soon as its coroutine sees the signal. */
    fun cut(
        ticket: Ticket,
        error: RequestError,
    ) = locked {
        if (ticket.state == TicketState.ENDED || ticket.cut != null) return@locked
        ticket.cut = error
        ticket.signals.trySend(RunSignal.End(error))
    }

    /** Like [cut], but leaves a request alone that may have reached a server; false in that case. */
    fun cutIfWaiting(
        ticket: Ticket,
        error: RequestError,
    ): Boolean =
        locked {
            if (ticket.state != TicketState.WAITING) return@locked false
            end(ticket)
            ticket.cut = error
            carryOut(policy.cancelled(ticket.request.id))
            ticket.signals.trySend(RunSignal.End(error))
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
     * A connection to [server] could not be opened: it gets no new work for [UnreachableServers.PAUSE] or until it
     * reports load. Without this an engine that is gone looks idle and draws every request to itself first.
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

    /** Runs [block] under the lock of the policy, for state that the policy shares, such as the crash ledger. */
    fun <T> withPolicy(block: () -> T): T = locked { block() }

    /**
     * Runs [block] under the lock and writes the decisions it led to afterwards, so that a slow log output does not
     * hold up the requests of other threads.
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

    private fun carryOut(decisions: List<Decision>) = decisions.forEach(::carryOut)

    private fun carryOut(decision: Decision) {
        val ticket = tickets[decision.request] ?: return
        unlogged.addLast(LoggedDecision(ticket.request, decision))
        when (decision) {
            is Decision.Start -> start(ticket, decision)
            is Decision.Refuse -> refuse(ticket, decision.error)
            is Decision.Preempt -> ticket.signals.trySend(RunSignal.Preempt(decision.beneficiary, ++preemptions))
        }
    }

    private fun start(
        ticket: Ticket,
        decision: Decision.Start,
    ) {
        check(ticket.state == TicketState.WAITING) { "request ${decision.request} does not wait" }
        ticket.state = TicketState.RUNNING
        ticket.server = decision.server
        val address = servers[decision.server]?.address
        if (address == null) {
            ticket.signals.trySend(RunSignal.End(UNKNOWN_SERVER))
        } else {
            ticket.signals.trySend(RunSignal.Start(decision.server, address))
        }
    }

    private fun refuse(
        ticket: Ticket,
        error: RequestError,
    ) {
        end(ticket)
        ticket.signals.trySend(RunSignal.End(error))
    }

    private fun end(ticket: Ticket) {
        ticket.state = TicketState.ENDED
        tickets.remove(ticket.request.id)
    }

    private class LoggedDecision(
        val request: PendingRequest,
        val decision: Decision,
    )

    companion object {
        private val UNKNOWN_SERVER =
            RequestError(ErrorKind.NO_BACKEND_SERVER, "the chosen server is no longer known", ExecutionStatus.NO)
    }
}
