package io.tarragonport.tool.bench

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchSettings
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.admission.TieredDispatch
import org.apache.commons.math3.random.Well19937c
import java.lang.management.ManagementFactory
import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds

/** Measures time and allocated memory of a dispatch decision for several numbers of servers and queue lengths. */
class DecisionCost {
    fun table(): String {
        val rows = SERVER_COUNTS.flatMap { servers -> QUEUE_LENGTHS.map { row(servers, it) } }
        return (listOf("servers  queued  ns_per_decision  bytes_per_request") + rows).joinToString("\n")
    }

    private fun row(
        servers: Int,
        queued: Int,
    ): String {
        val loop = DispatchLoop(servers, queued)
        loop.run(WARM_UP_ROUNDS)
        val bytesBefore = allocatedBytes()
        val start = System.nanoTime()
        loop.run(MEASURED_ROUNDS)
        val nanos = (System.nanoTime() - start) / MEASURED_ROUNDS
        val bytes = (allocatedBytes() - bytesBefore) / MEASURED_ROUNDS
        return "%7d %7d %16d %18d".format(Locale.ROOT, servers, queued, nanos, bytes)
    }

    /** Bytes allocated by this thread so far; only the `com.sun.management` thread bean reports them. */
    private fun allocatedBytes(): Long {
        val bean = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
        return bean.getThreadAllocatedBytes(Thread.currentThread().id)
    }

    /**
     * A policy with no free slots and [queued] queued requests. Each round completes one request, which starts a queued
     * one, and submits another.
     */
    private class DispatchLoop(
        servers: Int,
        queued: Int,
    ) {
        private val clock = VirtualClock()
        private val classes = Deployment.CHIMENEAS.classes.map { it.requestClass.copy(deadlineMs = DEADLINE_MS) }
        private val random = Well19937c(SEED)
        private val policy =
            TieredDispatch(
                VmId("vm-1"),
                clock,
                random,
                settings = DispatchSettings(queueBound = queued + QUEUE_MARGIN),
            )
        private val running = ArrayDeque<RequestId>()
        private var requestCount = 0

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
            while (queuedRequests() < queued) submit()
        }

        fun run(rounds: Int) =
            repeat(rounds) {
                clock.advanceTo(clock.nanos + ROUND_NANOS)
                val ended = running.removeFirst()
                recordStarts(policy.finished(ended, DispatchOutcome.COMPLETED, OUTPUT_TOKENS))
                submit()
            }

        private fun queuedRequests(): Int = policy.status().sumOf { status -> status.waitingByTier.values.sum() }

        private fun submit() = recordStarts(policy.submit(request()))

        private fun recordStarts(decisions: List<DispatchDecision>) =
            decisions.forEach { if (it is DispatchDecision.Start) running.addLast(it.request) }

        private fun request(): PendingRequest {
            requestCount++
            val requestClass: RequestClass = classes[requestCount % classes.size]
            val now = clock.markNow()
            return PendingRequest(
                RequestId("r$requestCount"),
                OrganisationId("organisation-${requestCount % ORGANISATIONS}"),
                1,
                requestClass,
                ServerFleet.POOL,
                now,
                now + DEADLINE_MS.milliseconds,
                PROMPT_TOKENS,
                null,
                prefixBlocks =
                    listOf(
                        "b${requestCount % TEMPLATES}-0",
                        "b${requestCount % TEMPLATES}-1",
                        "u$requestCount",
                    ),
            )
        }

        /** 46 VMs for a region of 1,333 servers, and at least seven, as in a small deployment. */
        private fun liveVms(servers: Int): List<VmId> =
            List((servers * VMS_PER_SERVER).toInt().coerceAtLeast(BenchPolicy.VM_COUNT)) { VmId("vm-$it") }
    }

    private companion object {
        val SERVER_COUNTS = listOf(12, 100, 1_000, 12_000)
        val QUEUE_LENGTHS = listOf(10, 100, 1_000, 10_000)
        const val WARM_UP_ROUNDS = 60_000
        const val MEASURED_ROUNDS = 100_000
        const val SEED = 1L
        const val QUEUE_MARGIN = 10
        const val DEADLINE_MS = 100_000_000L
        const val ROUND_NANOS = 1_000_000L
        const val OUTPUT_TOKENS = 200
        const val PROMPT_TOKENS = 768
        const val ORGANISATIONS = 650
        const val TEMPLATES = 100
        const val VMS_PER_SERVER = 0.0345
    }
}
