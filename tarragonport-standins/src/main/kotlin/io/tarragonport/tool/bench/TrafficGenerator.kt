package io.tarragonport.tool.bench

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.admission.PendingRequest
import org.apache.commons.math3.random.Well19937c
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration.Companion.milliseconds

/** Generates the Poisson arrivals of a run, identical for every policy with the same seed. */
class TrafficGenerator(
    private val options: BenchOptions,
    private val clock: VirtualClock,
) {
    private val random = Well19937c(options.seed)
    private val deployment = options.deployment
    private val weights =
        List(deployment.organisations) { options.scenario.organisationWeight(it, deployment.organisations) }
    private val requestsPerSecond = options.load * deployment.servers * MS_PER_SECOND / meanRequestWork()
    private var requestCount = 0

    /** Schedules all arrivals; [arrive] gets the request and the index of the VM that receives it. */
    fun schedule(
        events: EventQueue,
        arrive: (BenchRequest, vm: Int) -> Unit,
    ) {
        deployment.classes.forEach { traffic ->
            val rate = requestsPerSecond * normalisedShare(traffic)
            var time = exponential(rate * Scenario.BURST_FACTOR)
            while (time < Scenario.ARRIVAL_SECONDS) {
                if (random.nextDouble() * Scenario.BURST_FACTOR < options.scenario.rateFactor(traffic, time)) {
                    scheduleRequest(events, traffic, time, arrive)
                }
                time += exponential(rate * Scenario.BURST_FACTOR)
            }
        }
        if (options.scenario == Scenario.POISON) schedulePoison(events, arrive)
    }

    private fun scheduleRequest(
        events: EventQueue,
        traffic: ClassTraffic,
        seconds: Double,
        arrive: (BenchRequest, vm: Int) -> Unit,
    ) {
        val organisation = weightedPick(weights)
        val vm = weightedPick(VM_WEIGHTS)
        val prompt = logNormal(traffic.promptTokens.toDouble(), ClassTraffic.PROMPT_SIGMA)
        val output = logNormal(traffic.outputTokens * outputFactor(organisation), ClassTraffic.OUTPUT_SIGMA)
        val blocks = blocks(traffic, organisation, prompt)
        requestCount++
        val id = requestCount
        events.atSeconds(seconds) {
            arrive(request("r$id", traffic, "organisation-$organisation", prompt, output, blocks, "body-$id"), vm)
        }
    }

    private fun schedulePoison(
        events: EventQueue,
        arrive: (BenchRequest, vm: Int) -> Unit,
    ) {
        val traffic = deployment.classes.first()
        var time = POISON_START_SECONDS
        while (time < POISON_END_SECONDS) {
            val vm = random.nextInt(BenchPolicy.VMS)
            val id = "poison-${time.toInt()}"
            events.atSeconds(time) {
                arrive(request(id, traffic, "organisation-1", 500, 100, emptyList(), POISON_FINGERPRINT), vm)
            }
            time += POISON_INTERVAL_SECONDS
        }
    }

    private fun request(
        id: String,
        traffic: ClassTraffic,
        organisation: String,
        prompt: Int,
        output: Int,
        blocks: List<String>,
        fingerprint: String,
    ): BenchRequest {
        val now = clock.markNow()
        val deadline = traffic.requestClass.deadlineMs
        val pending =
            PendingRequest(
                RequestId(id),
                OrganisationId(organisation),
                organisationWeight = 1,
                traffic.requestClass,
                ServerFleet.POOL,
                now,
                now + deadline.milliseconds,
                prompt,
                maximumOutputTokens = null,
                prefixBlocks = blocks,
                fingerprint = fingerprint,
            )
        val deadlineAt = clock.nanos + (deadline * VirtualClock.NANOS_PER_MS).toLong()
        return BenchRequest(pending, output, fingerprint == POISON_FINGERPRINT, clock.nanos, deadlineAt)
    }

    /** The leading blocks come from a template of the organisation, the others are unique to the request. */
    private fun blocks(
        traffic: ClassTraffic,
        organisation: Int,
        prompt: Int,
    ): List<String> {
        val template = random.nextInt(TEMPLATES)
        val prefix = "${traffic.requestClass.id}-$organisation-$template"
        return List(prompt / EngineCosts.BLOCK_TOKENS) { index ->
            if (index < traffic.sharedBlocks) "$prefix-$index" else "unique-$requestCount-$index"
        }
    }

    private fun meanRequestWork(): Double = deployment.classes.sumOf { normalisedShare(it) * it.work }

    private fun normalisedShare(traffic: ClassTraffic): Double =
        options.scenario.requestShare(traffic) / deployment.classes.sumOf { options.scenario.requestShare(it) }

    /** Factor on the output length of an organisation; the mean over all organisations is about one. */
    private fun outputFactor(organisation: Int): Double = OUTPUT_FACTORS[organisation % OUTPUT_FACTORS.size]

    private fun logNormal(
        median: Double,
        sigma: Double,
    ): Int = (median * exp(sigma * random.nextGaussian())).toInt().coerceAtLeast(1)

    private fun exponential(rate: Double): Double = -ln(1.0 - random.nextDouble()) / rate

    private fun weightedPick(weights: List<Double>): Int {
        var remaining = random.nextDouble() * weights.sum()
        weights.forEachIndexed { index, weight ->
            remaining -= weight
            if (remaining <= 0.0) return index
        }
        return weights.lastIndex
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val TEMPLATES = 4
        const val POISON_START_SECONDS = 30.0
        const val POISON_END_SECONDS = 150.0
        const val POISON_INTERVAL_SECONDS = 4.0
        const val POISON_FINGERPRINT = "poison"
        val OUTPUT_FACTORS = listOf(1.0, 0.7, 1.3, 0.8, 1.2)

        /** The load balancer distributes connections, not requests, so the VMs receive unequal shares. */
        val VM_WEIGHTS = listOf(1.6, 1.3, 1.0, 1.0, 0.9, 0.7, 0.5)
    }
}
