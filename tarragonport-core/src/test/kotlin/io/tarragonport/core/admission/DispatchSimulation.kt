package io.tarragonport.core.admission

import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import org.apache.commons.math3.random.Well19937c
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/**
 * Simulates [vms] dispatch policies that share servers, in virtual time. A server has a number of slots, starts waiting
 * requests by tier and runs each for the fixed time of its class; every VM gets all load reports. Preempted requests
 * are submitted again.
 */
internal class DispatchSimulation(
    vms: Int,
    private val servers: Int,
    private val slots: Int,
    private val runTime: (RequestClass) -> Duration,
) {
    private class Attempt(
        val vm: Int,
        val request: PendingRequest,
        var remainingSteps: Int,
    )

    private val clock = TestTimeSource()
    private val policies = List(vms) { TieredDispatch(VmId("vm-$it"), clock, Well19937c(it.toLong())) }
    private val pending = HashMap<RequestId, PendingRequest>()

    /** Steps that preempted requests still have to run. */
    private val stepsOfPreempted = HashMap<RequestId, Int>()
    private val waiting = HashMap<BackendServerId, MutableList<Attempt>>()
    private val running = HashMap<BackendServerId, MutableList<Attempt>>()
    private var requestCount = 0
    private var step = 0

    /** Second and class of each start and of each complete response. */
    val starts = ArrayList<Pair<Int, RequestClass>>()
    val responses = ArrayList<Pair<Int, RequestClass>>()

    init {
        val liveVms = List(vms) { VmId("vm-$it") }
        policies.forEachIndexed { vm, policy ->
            perform(vm, policy.serversChanged(Requests.servers(servers, slots), liveVms))
        }
    }

    fun arrive(requestClass: RequestClass) {
        val request = Requests.request("r${++requestCount}", clock.markNow(), requestClass, "o${requestCount % 3}")
        submit(requestCount % policies.size, request)
    }

    /** Advances the simulation by [STEP]. */
    fun advance() {
        clock += STEP
        step++
        Requests.servers(servers, slots).forEach { serve(it.id) }
        policies.forEachIndexed { vm, policy -> perform(vm, policy.tick()) }
        if (step % STEPS_PER_SECOND == 0) report()
    }

    private fun serve(server: BackendServerId) {
        val active = running.getOrPut(server) { mutableListOf() }
        active.forEach { it.remainingSteps-- }
        active.filter { it.remainingSteps <= 0 }.forEach { end(server, it, DispatchOutcome.COMPLETED) }
        val queue = waiting.getOrPut(server) { mutableListOf() }
        while (active.size < slots && queue.isNotEmpty()) {
            val next = queue.minBy { it.request.requestClass.tier.value }
            queue -= next
            active += next
            policies[next.vm].progressed(next.request.id, 1)
        }
    }

    private fun end(
        server: BackendServerId,
        attempt: Attempt,
        outcome: DispatchOutcome,
    ) {
        running[server]?.remove(attempt)
        waiting[server]?.remove(attempt)
        if (outcome == DispatchOutcome.COMPLETED) responses += second to attempt.request.requestClass
        perform(attempt.vm, policies[attempt.vm].finished(attempt.request.id, outcome, TOKENS))
    }

    private fun submit(
        vm: Int,
        request: PendingRequest,
    ) {
        pending[request.id] = request
        perform(vm, policies[vm].submit(request))
    }

    private fun perform(
        vm: Int,
        decisions: List<DispatchDecision>,
    ): Unit =
        decisions.forEach { decision ->
            when (decision) {
                is DispatchDecision.Start -> start(vm, decision)
                is DispatchDecision.Refuse -> pending.remove(decision.request)
                is DispatchDecision.Preempt -> preempt(vm, decision)
            }
        }

    private fun start(
        vm: Int,
        decision: DispatchDecision.Start,
    ) {
        val request = checkNotNull(pending.remove(decision.request))
        starts += second to request.requestClass
        val steps = stepsOfPreempted.remove(request.id) ?: (runTime(request.requestClass) / STEP).toInt()
        waiting.getOrPut(decision.server) { mutableListOf() } += Attempt(vm, request, steps)
    }

    private fun preempt(
        vm: Int,
        decision: DispatchDecision.Preempt,
    ) {
        val attempts = running[decision.server].orEmpty() + waiting[decision.server].orEmpty()
        val attempt = attempts.find { it.request.id == decision.request } ?: return
        end(decision.server, attempt, DispatchOutcome.CANCELLED)
        stepsOfPreempted[attempt.request.id] = attempt.remainingSteps
        submit(vm, attempt.request.copy(resumedTokens = 1))
    }

    private fun report() =
        Requests.servers(servers, slots).forEach { server ->
            val report = LoadReport(server.id, 0, running[server.id].orEmpty().size, waiting[server.id].orEmpty().size)
            policies.forEachIndexed { vm, policy -> perform(vm, policy.loadReported(report)) }
        }

    private val second: Int
        get() = step / STEPS_PER_SECOND

    companion object {
        val STEP = 100.milliseconds
        const val STEPS_PER_SECOND = 10
        private const val TOKENS = 100
    }
}
