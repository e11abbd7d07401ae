package io.tarragonport.tool.fault

import io.tarragonport.standin.platform.ReceivedUsage
import kotlin.time.Duration.Companion.milliseconds

/** Checks the invariants against the responses that callers received and the requests that the stand-ins recorded. */
class FaultReport(
    private val fleet: FaultFleet,
    private val traffic: FaultTraffic,
    private val injector: FaultInjector,
    private val probe: KeyProbe,
    private val metrics: List<String>,
) {
    private val records = traffic.records.toList()
    private val engineLogs = (fleet.engines + fleet.spares).flatMap { it.received() }
    private val executed = fleet.ledger.received().executed
    private val received = fleet.platform.received()

    /** All invariants with the counts of checks and breaches. */
    fun invariants(): List<InvariantCount> =
        listOf(
            completeResponses(),
            partialResponses(),
            notExecuted(),
            atMostOnce(),
            recordedDeposits(),
            fencing(),
            usageFigures(),
            usageBalance(),
            keysNotForwarded(),
            keysInStatus(),
            misplacedKeys(),
            leavingServers(),
            gracefulStreams(),
            rollingRefusals(),
            crashingRequests(),
            noStarvation("drawing review"),
            noStarvation("batch"),
            assertions(),
            injector.gracefulStops,
            injector.rollingRestart,
            injector.operatorRaces,
            probe.created,
            probe.withdrawnRefused,
            probe.withdrawnStreams,
            probe.neverReaccepted,
        )

    private fun completeResponses() =
        InvariantCount("answers: whole answers are the caller's own").also { count ->
            records.filter { it.complete }.forEach { count.observe(it.correct) { "$it" } }
        }

    private fun partialResponses() =
        InvariantCount("answers: what was delivered before an error is a beginning of the own answer").also { count ->
            records.filter { !it.complete && it.status == HTTP_OK }.forEach { count.observe(it.correct) { "$it" } }
        }

    private fun notExecuted() =
        InvariantCount("refusals: 'not run' is true").also { count ->
            val bodies = engineLogs.flatMap { it.second.requests }.map { it.body }
            val receivedMarkers = MarkerIndex(bodies)
            records
                .filter { it.ran == "no" && it.kind in SENT_ONCE_KINDS }
                .forEach { count.observe(!receivedMarkers.contains(it.marker)) { "$it" } }
            val executedKeys = executed.mapNotNull { it.idempotencyKey }.toSet()
            records
                .filter { it.idempotencyKey != null }
                .groupBy { it.idempotencyKey }
                .filterValues { calls -> calls.all { it.ran == "no" } }
                .forEach { (key, calls) -> count.observe(key !in executedKeys) { "$calls" } }
        }

    private fun atMostOnce() =
        InvariantCount("at most once: calls executed per idempotency key").also { count ->
            executed.groupBy { it.idempotencyKey }.forEach { (key, calls) ->
                count.observe(key != null && calls.size == 1) {
                    "idempotency key $key was executed ${calls.size} times"
                }
            }
        }

    private fun recordedDeposits() =
        InvariantCount("at most once: answered deposits were executed").also { count ->
            val keys = executed.mapNotNull { it.idempotencyKey }.toSet()
            records.filter { it.idempotencyKey != null }.groupBy { it.idempotencyKey }.forEach { (key, calls) ->
                val succeeded = calls.any { it.status == HTTP_OK }
                if (succeeded) count.observe(key in keys) { "deposit $key got status 200 but was not executed" }
            }
        }

    private fun fencing() =
        InvariantCount("orders: one holder per fencing number, numbers never go back").also { count ->
            val holders = mutableMapOf<Long, String>()
            var highest = 0L
            received.orders.filter { it.status != CONFLICT }.forEach { order ->
                val token = order.order.fencingToken.value
                val holder = holders.getOrPut(token) { order.order.holder.value }
                count.observe(holder == order.order.holder.value && token >= highest) {
                    "$order after fencing token $highest"
                }
                highest = maxOf(highest, token)
            }
        }

    private fun usageFigures() =
        InvariantCount("usage: one figure per organisation and window").also { count ->
            received.usage.groupBy { it.report.organisation to it.report.window }.values.forEach { reports ->
                val figures =
                    reports.map {
                        listOf(
                            it.report.promptTokens,
                            it.report.generatedTokens,
                            it.report.requests,
                        )
                    }
                count.observe(figures.distinct().size == 1) { "${reports.map { it.report }}" }
            }
        }

    private fun usageBalance() =
        InvariantCount("usage: reported tokens are those generated, less the stated loss").also { count ->
            val reported = firstReports().sumOf { it.report.generatedTokens }
            val generated = engineLogs.sumOf { it.second.tokensGenerated }
            val tokensPerSecond =
                (FaultFleet.ENGINES + FaultFleet.SPARES) * FaultFleet.SLOTS_PER_ENGINE * FaultFleet.TOKENS_PER_SECOND
            val lossPerKill = tokensPerSecond / fleet.vms.size * MAXIMUM_LOSS_SECONDS
            val discardedTokens = records.size * DISCARDED_TOKENS_PER_REQUEST
            val lossLimit = (injector.kills * lossPerKill).toLong() + discardedTokens
            println("  usage: generated $generated, reported $reported, loss ${generated - reported}, bound $lossLimit")
            count.observe(reported in (generated - lossLimit)..generated) {
                "generated $generated, reported $reported"
            }
        }

    private fun firstReports(): List<ReceivedUsage> =
        received.usage
            .filter { it.status < CONFLICT }
            .distinctBy { it.report.organisation to it.report.window }

    private fun keysNotForwarded() =
        InvariantCount("keys: no backend server, log or stored object holds a caller's key").also { count ->
            val engineTexts = engineLogs.flatMap { it.second.requests }.map { it.body + it.headers }
            val serviceTexts = executed.map { it.body + it.headers + it.path + it.query }
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
        InvariantCount("keys: no metrics page or status object holds a caller's key").also { count ->
            val status =
                fleet.platform.objects
                    .list(STATUS_PREFIX, true)
                    .objects
                    .mapNotNull { it.value }
            (metrics + status).forEach { count.observe(KEY_PREFIX !in it) { it.lines().first { KEY_PREFIX in it } } }
        }

    /** A request with a key in its body or query is rejected; copies of the key in other headers are not forwarded. */
    private fun misplacedKeys() =
        InvariantCount("keys: requests with a misplaced key are refused or lose it").also { count ->
            records.filter { it.kind == "misplaced key" && it.status > 0 }.forEach { record ->
                val succeeded = record.status == HTTP_OK
                count.observe(!succeeded || record.marker.endsWith("-c")) { "$record" }
            }
        }

    private fun leavingServers() =
        InvariantCount("leaving: no new work for a reclaimed server after 5 s").also { count ->
            injector.leaving.forEach { interval ->
                val slot = fleet.spares.first { it.id == interval.engine }
                val late =
                    slot
                        .received()
                        .flatMap { (start, log) ->
                            log.requests.map { start + it.millisecond.milliseconds }
                        }.count { it > interval.from && it < (interval.to ?: it) }
                count.observe(late == 0) { "${interval.engine} received $late requests" }
            }
        }

    private fun gracefulStreams() =
        InvariantCount("graceful stop: no request is cut by it").also { count ->
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
    private fun rollingRefusals() =
        InvariantCount("rolling restart: no request is refused for it").also { count ->
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
        InvariantCount("crashing requests: held after the second crash").also { count ->
            traffic.crashingMarkers.forEach { marker ->
                val executions = engineLogs.flatMap { it.second.requests }.count { marker in it.body }
                if (executions > 0) count.observe(executions <= MAXIMUM_CRASHES) { "$marker: $executions executions" }
            }
        }

    private fun noStarvation(kind: String) =
        InvariantCount("no starvation: $kind requests are answered").also { count ->
            val complete = records.count { it.kind == kind && it.complete }
            if (records.any { it.kind == kind }) count.observe(complete > 0) { "no complete response" }
        }

    private fun assertions() =
        InvariantCount("assertions inside the daemons").also { count ->
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

        /** Requests whose marker is sent only once, so that an engine that received the marker received this request. */
        val SENT_ONCE_KINDS = setOf("quick chat", "hurried chat", "drawing review", "batch")
        val FAILED_ASSERTIONS = listOf("IllegalStateException", "1005 part_failed", "request_error")

        /** Usage is flushed every 2 s; one more second for a flush in progress. */
        const val MAXIMUM_LOSS_SECONDS = 3.0

        /** Tokens that an engine still generates between the close of a stream by the VM and its detection. */
        const val DISCARDED_TOKENS_PER_REQUEST = 12
    }
}
