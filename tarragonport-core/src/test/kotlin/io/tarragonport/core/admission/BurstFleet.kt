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
 * [vms] policies in front of the same servers in virtual time. A server has slots, starts waiting requests by tier and
 * runs each for the fixed time of its class; every VM gets all load reports. Preempted requests are resubmitted.
 */
internal class BurstFleet(
    vms: Int,
    private val servers: Int,
    private val slots: Int,
    private val runTime: (RequestClass) -> Duration,
) {
    private class Run(
        val vm: Int,
        val request: PendingRequest,
        var left: Int,
    )

    private val clock = TestTimeSource()
    private val policies = List(vms) { TieredDispatch(VmId("vm-$it"), clock, Well19937c(it.toLong())) }
    private val pending = HashMap<RequestId, PendingRequest>()
    private val remaining = HashMap<RequestId, Int>()
    private val waiting = HashMap<BackendServerId, MutableList<Run>>()
    private val running = HashMap<BackendServerId, MutableList<Run>>()
    private var numbered = 0
    private var step = 0

    /** Second, class of each start and of each complete answer. */
    val starts = ArrayList<Pair<Int, RequestClass>>()
    val answers = ArrayList<Pair<Int, RequestClass>>()

    init {
        val liveVms = List(vms) { VmId("vm-$it") }
        policies.forEachIndexed { vm, policy ->
            perform(vm, policy.serversChanged(Requests.servers(servers, slots), liveVms))
        }
    }

    fun arrive(requestClass: RequestClass) {
        val request = Requests.request("r${++numbered}", clock.markNow(), requestClass, "o${numbered % 3}")
        submit(numbered % policies.size, request)
    }

    /** Lets [STEP] pass. */
    fun advance() {
        clock += STEP
        step++
        Requests.servers(servers, slots).forEach { serve(it.id) }
        policies.forEachIndexed { vm, policy -> perform(vm, policy.tick()) }
        if (step % STEPS_A_SECOND == 0) report()
    }

    private fun serve(server: BackendServerId) {
        val active = running.getOrPut(server) { mutableListOf() }
        active.forEach { it.left-- }
        active.filter { it.left <= 0 }.forEach { end(server, it, DispatchOutcome.COMPLETED) }
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
        run: Run,
        outcome: DispatchOutcome,
    ) {
        running[server]?.remove(run)
        waiting[server]?.remove(run)
        if (outcome == DispatchOutcome.COMPLETED) answers += second to run.request.requestClass
        perform(run.vm, policies[run.vm].finished(run.request.id, outcome, TOKENS))
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
        decisions: List<Decision>,
    ): Unit =
        decisions.forEach { decision ->
            when (decision) {
                is Decision.Start -> start(vm, decision)
                is Decision.Refuse -> pending.remove(decision.request)
                is Decision.Preempt -> preempt(vm, decision)
            }
        }

    private fun start(
        vm: Int,
        decision: Decision.Start,
    ) {
        val request = checkNotNull(pending.remove(decision.request))
        starts += second to request.requestClass
        val steps = remaining.remove(request.id) ?: (runTime(request.requestClass) / STEP).toInt()
        waiting.getOrPut(decision.server) { mutableListOf() } += Run(vm, request, steps)
    }

    private fun preempt(
        vm: Int,
        decision: Decision.Preempt,
    ) {
        val runs = running[decision.server].orEmpty() + waiting[decision.server].orEmpty()
        val run = runs.find { it.request.id == decision.request } ?: return
        end(decision.server, run, DispatchOutcome.CANCELLED)
        remaining[run.request.id] = run.left
        submit(vm, run.request.copy(resumedTokens = 1))
    }

    private fun report() =
        Requests.servers(servers, slots).forEach { server ->
            val report = LoadReport(server.id, 0, running[server.id].orEmpty().size, waiting[server.id].orEmpty().size)
            policies.forEachIndexed { vm, policy -> perform(vm, policy.loadReported(report)) }
        }

    private val second: Int
        get() = step / STEPS_A_SECOND

    companion object {
        val STEP = 100.milliseconds
        const val STEPS_A_SECOND = 10
        private const val TOKENS = 100
    }
}
