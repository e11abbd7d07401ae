package io.tarragonport.tool.bench

import io.tarragonport.api.error.ErrorKind
import org.HdrHistogram.Histogram

/** Collects the outcomes and timings of the requests of a run. */
class BenchMetrics(
    private val clock: VirtualClock,
) {
    private val requests = ArrayList<BenchRequest>()
    private val serviceGaps = LinkedHashMap<String, ServiceGap>()
    private val interTokenTimes = Histogram(SIGNIFICANT_DIGITS)
    private val shedsByTier = sortedMapOf<String, Int>()
    private val errorsByKind = sortedMapOf<String, Int>()
    private var tierInversions = 0
    var serverCrashes = 0

    fun arrived(request: BenchRequest) {
        requests += request
        serviceGap(request).arrived(clock.seconds)
    }

    fun started(request: BenchRequest) = serviceGap(request).served(clock.seconds)

    fun tokenArrived(request: BenchRequest) {
        serviceGap(request).served(clock.seconds)
        if (request.firstTokenAt == BenchRequest.NEVER) {
            request.firstTokenAt = clock.nanos
        } else {
            interTokenTimes.recordValue((clock.nanos - request.lastTokenAt) / NANOS_PER_MICRO)
        }
        request.lastTokenAt = clock.nanos
        request.deliveredTokens++
    }

    fun completed(request: BenchRequest) {
        request.completedAt = clock.nanos
        serviceGap(request).completed(clock.seconds)
    }

    fun failed(request: BenchRequest) {
        request.failed = true
        serviceGap(request).failed()
    }

    fun refused(
        request: BenchRequest,
        kind: ErrorKind,
        isTierInversion: Boolean,
    ) {
        request.errorKind = kind
        errorsByKind.merge(kind.code, 1, Int::plus)
        if (kind == ErrorKind.OVERLOADED) shedsByTier.merge("tier_${request.tier}", 1, Int::plus)
        if (isTierInversion) tierInversions++
        serviceGap(request).failed()
    }

    /**
     * Called when the arrivals end. For each class with unserved requests, records the time since its last service as a
     * gap.
     */
    fun arrivalsEnded() = serviceGaps.values.forEach { it.recordGap(clock.seconds) }

    fun result(
        options: BenchOptions,
        pricePerSecond: Double,
    ): BenchResult {
        val regularRequests = requests.filter { !it.poison }
        val inTime = regularRequests.count { it.inTime }
        val work = regularRequests.sumOf { it.work }
        return BenchResult(
            options.scenario.label,
            options.policy.label,
            options.deployment.label,
            options.load,
            options.seed,
            regularRequests.size,
            byClass(regularRequests) { group -> group.count { it.inTime }.toDouble() / group.size },
            inTime / Scenario.ARRIVAL_SECONDS,
            wastedWork(regularRequests) / work.coerceAtLeast(1.0),
            byClass(regularRequests) { wastedWork(it) / work.coerceAtLeast(1.0) },
            regularRequests.sumOf { it.repeatedWork } / work.coerceAtLeast(1.0),
            byClass(regularRequests) { group -> group.sumOf { it.attempts }.toDouble() / group.size },
            worstRelativeService(regularRequests),
            pricePerSecond * Scenario.ARRIVAL_SECONDS / inTime.coerceAtLeast(1),
            regularRequests.sumOf { it.cheapWork } / work.coerceAtLeast(1.0),
            regularRequests.count { it.affectedByReclaim && !it.inTime }.toDouble() /
                regularRequests.size.coerceAtLeast(1),
            shedsByTier,
            errorsByKind,
            tierInversions,
            serviceGaps.mapValues { it.value.longest },
            byClass(regularRequests) { firstTokenLatencies(it) },
            Percentiles.of(interTokenTimes),
            serverCrashes,
        )
    }

    /** All work on requests that were not in time, and the repeated prefills of those that were. */
    private fun wastedWork(requests: List<BenchRequest>): Double =
        requests.sumOf { if (it.inTime) it.repeatedWork else it.work }

    private fun <T> byClass(
        regularRequests: List<BenchRequest>,
        metric: (List<BenchRequest>) -> T,
    ): Map<String, T> = regularRequests.groupBy { it.classId }.toSortedMap().mapValues { metric(it.value) }

    private fun firstTokenLatencies(requests: List<BenchRequest>): Percentiles {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        requests
            .filter { it.firstTokenAt != BenchRequest.NEVER }
            .forEach { histogram.recordValue((it.firstTokenAt - it.arrivedAt) / NANOS_PER_MICRO) }
        return Percentiles.of(histogram)
    }

    private fun worstRelativeService(regularRequests: List<BenchRequest>): Double {
        val byOrganisation = regularRequests.groupBy { it.original.organisation.value }
        val demand = byOrganisation.mapValues { (_, group) -> group.sumOf { requiredWork(it) } }
        val served = byOrganisation.mapValues { (_, group) -> group.filter { it.inTime }.sumOf { requiredWork(it) } }
        return FairShares.worstRelativeService(demand, served)
    }

    private fun requiredWork(request: BenchRequest): Double =
        EngineCosts.work(request.original.promptTokens, request.outputTokens)

    private fun serviceGap(request: BenchRequest): ServiceGap = serviceGaps.getOrPut(request.classId) { ServiceGap() }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val NANOS_PER_MICRO = 1_000L
    }
}
