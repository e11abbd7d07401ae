package io.tarragonport.tool.bench

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.Decision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchSettings
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.admission.TieredDispatch
import org.apache.commons.math3.random.Well19937c
import java.lang.management.ManagementFactory
import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds

/** Measures nanoseconds and allocated bytes of a routing decision by number of servers and length of the queue. */
class DecisionCost {
    fun table(): String {
        val rows = SERVERS.flatMap { servers -> QUEUES.map { row(servers, it) } }
        return (listOf("servers  queued  ns_per_decision  bytes_per_request") + rows).joinToString("\n")
    }

    private fun row(
        servers: Int,
        queued: Int,
    ): String {
        val loop = Loop(servers, queued)
        loop.run(WARM_UP)
        val bytesBefore = allocated()
        val start = System.nanoTime()
        loop.run(MEASURED)
        val nanos = (System.nanoTime() - start) / MEASURED
        val bytes = (allocated() - bytesBefore) / MEASURED
        return "%7d %7d %16d %18d".format(Locale.ROOT, servers, queued, nanos, bytes)
    }

    /** Bytes allocated by this thread; the standard thread bean does not offer it. */
    private fun allocated(): Long {
        val bean = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
        return bean.getThreadAllocatedBytes(Thread.currentThread().id)
    }

    /** A policy with full slots and [queued] requests waiting: each round ends one run, starts one and submits one. */
    private class Loop(
        servers: Int,
        queued: Int,
    ) {
        private val clock = VirtualClock()
        private val classes = Deployment.CHIMENEAS.classes.map { it.requestClass.copy(deadlineMs = FAR_DEADLINE_MS) }
        private val random = Well19937c(SEED)
        private val policy =
            TieredDispatch(
                VmId("vm-1"),
                clock,
                random,
                settings = DispatchSettings(queueBound = queued + MARGIN),
            )
        private val running = ArrayDeque<RequestId>()
        private var numbered = 0

        init {
            val options = BenchOptions(Scenario.STEADY, BenchPolicy.TARRAGONPORT)
            val template = ServerFleet.servers(options).first()
            val statuses =
                List(servers) {
                    template.copy(
                        id =
                            io.tarragonport.api.id
                                .BackendServerId("server-$it"),
                    )
                }
            policy.serversChanged(statuses, liveVms(servers))
            while (waiting() < queued) submit()
        }

        fun run(rounds: Int) =
            repeat(rounds) {
                clock.advanceTo(clock.nanos + ROUND_NANOS)
                val ended = running.removeFirst()
                note(policy.finished(ended, DispatchOutcome.COMPLETED, OUTPUT_TOKENS))
                submit()
            }

        private fun waiting(): Int = policy.status().sumOf { status -> status.waitingByTier.values.sum() }

        private fun submit() = note(policy.submit(request()))

        private fun note(decisions: List<Decision>) =
            decisions.forEach { if (it is Decision.Start) running.addLast(it.request) }

        private fun request(): PendingRequest {
            numbered++
            val requestClass: RequestClass = classes[numbered % classes.size]
            val now = clock.markNow()
            return PendingRequest(
                RequestId("r$numbered"),
                OrganisationId("organisation-${numbered % ORGANISATIONS}"),
                1,
                requestClass,
                ServerFleet.POOL,
                now,
                now + FAR_DEADLINE_MS.milliseconds,
                PROMPT_TOKENS,
                null,
                prefixBlocks = listOf("b${numbered % TEMPLATES}-0", "b${numbered % TEMPLATES}-1", "u$numbered"),
            )
        }

        /** 46 VMs per region of 1,333 servers, seven in a small deployment. */
        private fun liveVms(servers: Int): List<VmId> =
            List((servers * VMS_PER_SERVER).toInt().coerceAtLeast(BenchPolicy.VMS)) { VmId("vm-$it") }
    }

    private companion object {
        val SERVERS = listOf(12, 100, 1_000, 12_000)
        val QUEUES = listOf(10, 100, 1_000, 10_000)
        const val WARM_UP = 60_000
        const val MEASURED = 100_000
        const val SEED = 1L
        const val MARGIN = 10
        const val FAR_DEADLINE_MS = 100_000_000L
        const val ROUND_NANOS = 1_000_000L
        const val OUTPUT_TOKENS = 200
        const val PROMPT_TOKENS = 768
        const val ORGANISATIONS = 650
        const val TEMPLATES = 100
        const val VMS_PER_SERVER = 0.0345
    }
}
