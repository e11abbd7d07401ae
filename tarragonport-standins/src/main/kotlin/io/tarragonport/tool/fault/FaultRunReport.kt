package io.tarragonport.tool.fault

import io.tarragonport.standin.platform.ReceivedUsage
import kotlin.time.Duration.Companion.milliseconds

/** Checks the invariants after a run, by the responses that callers got and the requests that stand-ins recorded. */
class FaultRunReport(
    private val fleet: FaultRunFleet,
    private val traffic: FaultRunTraffic,
    private val injector: FaultInjector,
    private val probe: KeyProbe,
    private val metrics: List<String>,
) {
    private val records = traffic.records.toList()
    private val engineLogs = (fleet.engines + fleet.spares).flatMap { it.received() }
    private val executedCalls = fleet.ledger.received().executed
    private val platformLog = fleet.platform.received()

    /** All invariants of the run with their numbers of checks and breaches. */
    fun invariants(): List<InvariantCount> =
        listOf(
            completeResponses(),
            partialResponses(),
            notExecuted(),
            atMostOnce(),
            successfulDeposits(),
            fencing(),
            usageReports(),
            usageBalance(),
            keysNotForwarded(),
            keysInStatus(),
            misplacedKeys(),
            leavingServers(),
            gracefulStreams(),
            rollingRestartErrors(),
            crashingRequests(),
            noStarvation("drawing review"),
            noStarvation("batch"),
            failedAssertions(),
            injector.gracefulStops,
            injector.rollingRestart,
            injector.operatorRaces,
            probe.createdKeys,
            probe.rejectedKeys,
            probe.endedStreams,
            probe.neverReaccepted,
        )

    private fun completeResponses() =
        InvariantCount("responses: each complete response is the expected one for its request").also { count ->
            records.filter { it.complete }.forEach { count.observe(it.correct) { "$it" } }
        }

    private fun partialResponses() =
        InvariantCount("responses: text received before an error is a prefix of the expected response").also { count ->
            records.filter { !it.complete && it.status == HTTP_OK }.forEach { count.observe(it.correct) { "$it" } }
        }

    private fun notExecuted() =
        InvariantCount("rejections: a request reported as not executed was not executed").also { count ->
            val bodies = engineLogs.flatMap { it.second.requests }.map { it.body }
            val receivedMarkers = MarkerIndex(bodies)
            records
                .filter { it.executionStatus == "no" && it.kind in SENT_ONCE_KINDS }
                .forEach { count.observe(!receivedMarkers.contains(it.marker)) { "$it" } }
            val executedKeys = executedCalls.mapNotNull { it.idempotencyKey }.toSet()
            records
                .filter { it.idempotencyKey != null }
                .groupBy { it.idempotencyKey }
                .filterValues { calls -> calls.all { it.executionStatus == "no" } }
                .forEach { (key, calls) -> count.observe(key !in executedKeys) { "$calls" } }
        }

    private fun atMostOnce() =
        InvariantCount("at most once: one execution per idempotency key").also { count ->
            executedCalls.groupBy { it.idempotencyKey }.forEach { (key, calls) ->
                count.observe(key != null && calls.size == 1) {
                    "idempotency key $key was executed ${calls.size} times"
                }
            }
        }

    private fun successfulDeposits() =
        InvariantCount("deposits: every deposit with status 200 was executed").also { count ->
            val keys = executedCalls.mapNotNull { it.idempotencyKey }.toSet()
            records.filter { it.idempotencyKey != null }.groupBy { it.idempotencyKey }.forEach { (key, calls) ->
                val succeeded = calls.any { it.status == HTTP_OK }
                if (succeeded) count.observe(key in keys) { "deposit $key got status 200 but was not executed" }
            }
        }

    private fun fencing() =
        InvariantCount("orders: one holder per fencing token, and tokens never decrease").also { count ->
            val holders = mutableMapOf<Long, String>()
            var highest = 0L
            platformLog.orders.filter { it.status != CONFLICT }.forEach { order ->
                val token = order.order.fencingToken.value
                val holder = holders.getOrPut(token) { order.order.holder.value }
                count.observe(holder == order.order.holder.value && token >= highest) {
                    "$order after fencing token $highest"
                }
                highest = maxOf(highest, token)
            }
        }

    private fun usageReports() =
        InvariantCount("usage: all reports of an organisation and window contain the same counts").also { count ->
            platformLog.usage.groupBy { it.report.organisation to it.report.window }.values.forEach { reports ->
                val counts =
                    reports.map {
                        listOf(
                            it.report.promptTokens,
                            it.report.generatedTokens,
                            it.report.requests,
                        )
                    }
                count.observe(counts.distinct().size == 1) { "${reports.map { it.report }}" }
            }
        }

    private fun usageBalance() =
        InvariantCount("usage: reported tokens are the generated ones minus a permitted loss").also { count ->
            val reported = firstReports().sumOf { it.report.generatedTokens }
            val generated = engineLogs.sumOf { it.second.tokensGenerated }
            val tokensPerSecond =
                (FaultRunFleet.ENGINES + FaultRunFleet.SPARES) * FaultRunFleet.SLOTS_PER_ENGINE *
                    FaultRunFleet.TOKENS_PER_SECOND
            val lossPerKill = tokensPerSecond / fleet.vms.size * MAXIMUM_LOSS_SECONDS
            val discardedTokens = records.size * DISCARDED_TOKENS_PER_REQUEST
            val lossLimit = (injector.kills * lossPerKill).toLong() + discardedTokens
            println(
                "  usage: generated $generated, reported $reported, loss ${generated - reported}, " +
                    "permitted loss $lossLimit",
            )
            count.observe(reported in (generated - lossLimit)..generated) {
                "generated $generated, reported $reported"
            }
        }

    private fun firstReports(): List<ReceivedUsage> =
        platformLog.usage
            .filter { it.status < CONFLICT }
            .distinctBy { it.report.organisation to it.report.window }

    private fun keysNotForwarded() =
        InvariantCount("keys: no backend server, log or stored object contains the key of a caller").also { count ->
            val engineTexts = engineLogs.flatMap { it.second.requests }.map { it.body + it.headers }
            val serviceTexts = executedCalls.map { it.body + it.headers + it.path + it.query }
            val logs = fleet.vms.map { fleet.folder.resolve("${it.id}.log").readText() }
            val objects =
                fleet.platform.objects
                    .list("", true)
                    .objects
                    .mapNotNull { it.value }
            (engineTexts + serviceTexts + logs + objects).forEach { text ->
                count.observe(KEY_PREFIX !in text) { text.take(DETAIL_LENGTH) }
            }
        }

    private fun keysInStatus() =
        InvariantCount("keys: no metrics page or status object contains the key of a caller").also { count ->
            val status =
                fleet.platform.objects
                    .list(STATUS_PREFIX, true)
                    .objects
                    .mapNotNull { it.value }
            (metrics + status).forEach { count.observe(KEY_PREFIX !in it) { it.lines().first { KEY_PREFIX in it } } }
        }

    /** A request with a key in its body or query is rejected; copies of the key in other headers are not forwarded. */
    private fun misplacedKeys() =
        InvariantCount("keys: rejected in a body or query, not forwarded from other headers").also { count ->
            records.filter { it.kind == "misplaced key" && it.status > 0 }.forEach { record ->
                val succeeded = record.status == HTTP_OK
                count.observe(!succeeded || record.marker.endsWith("-c")) { "$record" }
            }
        }

    private fun leavingServers() =
        InvariantCount("leaving servers: a reclaimed server gets no new requests after 5 s").also { count ->
            injector.leavingIntervals.forEach { interval ->
                val slot = fleet.spares.first { it.id == interval.engine }
                val lateRequests =
                    slot
                        .received()
                        .flatMap { (start, log) ->
                            log.requests.map { start + it.millisecond.milliseconds }
                        }.count { it > interval.from && it < (interval.to ?: it) }
                count.observe(lateRequests == 0) { "${interval.engine} received $lateRequests requests" }
            }
        }

    private fun gracefulStreams() =
        InvariantCount("graceful stop: no caller loses its connection before the response is complete").also { count ->
            fleet.vms.forEach { vm ->
                vm.disturbances.filter { it.kind == Disturbance.RESTARTED }.forEach { restart ->
                    val end = restart.end ?: return@forEach
                    records
                        .filter { it.vm == vm.id && it.start < end && it.end > restart.start && it.status > 0 }
                        .filterNot { vm.wasDisturbedDuring(it, setOf(Disturbance.KILLED, Disturbance.FROZEN)) }
                        .forEach { count.observe(!it.connectionLost) { "$it" } }
                }
            }
        }

    /** All faults have ended when the rolling restart begins, so it is the only possible cause of these errors. */
    private fun rollingRestartErrors() =
        InvariantCount("rolling restart: no request is rejected because a VM stops or starts").also { count ->
            val start = injector.rollingRestartStart.get() ?: return@also
            records.filter { it.start > start && it.status > 0 }.forEach {
                count.observe(it.error !in RESTART_ERRORS) { "$it" }
            }
        }

    private fun VmProcess.wasDisturbedDuring(
        record: CallRecord,
        kinds: Set<String>,
    ): Boolean =
        disturbances.any { it.kind in kinds && it.start < record.end && (it.end == null || it.end!! > record.start) }

    private fun crashingRequests() =
        InvariantCount("crashing requests: not executed again after the second crash").also { count ->
            traffic.crashingMarkers.forEach { marker ->
                val executions = engineLogs.flatMap { it.second.requests }.count { marker in it.body }
                if (executions > 0) count.observe(executions <= MAXIMUM_CRASHES) { "$marker: $executions executions" }
            }
        }

    private fun noStarvation(kind: String) =
        InvariantCount("no starvation: at least one $kind request gets a complete response").also { count ->
            val complete = records.count { it.kind == kind && it.complete }
            if (records.any { it.kind == kind }) count.observe(complete > 0) { "no complete response" }
        }

    private fun failedAssertions() =
        InvariantCount("daemon logs: no failed assertions").also { count ->
            fleet.vms.forEach { vm ->
                val failed =
                    fleet.folder
                        .resolve("${vm.id}.log")
                        .readLines()
                        .filter { line -> FAILED_ASSERTIONS.any { it in line } }
                count.observe(failed.isEmpty()) { "${vm.id}: ${failed.first()}" }
            }
        }

    private companion object {
        const val HTTP_OK = 200
        const val CONFLICT = 409
        const val KEY_PREFIX = "tp_fault_"
        const val STATUS_PREFIX = "status/"
        const val DETAIL_LENGTH = 300

        /** Error kinds of a VM that is stopping or starting. */
        val RESTART_ERRORS = setOf("draining", "not_configured", "isolated")
        const val MAXIMUM_CRASHES = 2

        /** Kinds whose requests are sent only once: an engine that received the marker received this request. */
        val SENT_ONCE_KINDS = setOf("quick chat", "short-deadline chat", "drawing review", "batch")

        /** Texts in a daemon log that indicate a failed assertion. */
        val FAILED_ASSERTIONS = listOf("IllegalStateException", "1005 part_failed", "request_error")

        /** Usage is flushed every 2 s; one more second for a flush in progress. */
        const val MAXIMUM_LOSS_SECONDS = 3.0

        /** Tokens that an engine still generates between the close of a stream by the VM and its detection. */
        const val DISCARDED_TOKENS_PER_REQUEST = 12
    }
}
