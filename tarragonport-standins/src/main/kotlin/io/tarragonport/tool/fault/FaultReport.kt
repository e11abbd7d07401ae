package io.tarragonport.tool.fault

import io.tarragonport.standin.platform.ReceivedUsage
import kotlin.time.Duration.Companion.milliseconds

/** Checks the invariants over what callers got and what the stand-ins saw. */
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

    /** All invariants with their counts. */
    fun invariants(): List<InvariantCount> =
        listOf(
            answers(),
            partialAnswers(),
            notRun(),
            atMostOnce(),
            recordedDeposits(),
            fencing(),
            usageFigures(),
            usageBalance(),
            keysStayHere(),
            keysInStatus(),
            misplacedKeys(),
            leavingServers(),
            gracefulStreams(),
            rollingRefusals(),
            poison(),
            served("drawing review"),
            served("batch"),
            assertions(),
            injector.graceful,
            injector.rolling,
            injector.races,
            probe.created,
            probe.refused,
            probe.streams,
            probe.permanent,
        )

    private fun answers() =
        InvariantCount("answers: whole answers are the caller's own").also { count ->
            records.filter { it.whole }.forEach { count.observe(it.correct) { "$it" } }
        }

    private fun partialAnswers() =
        InvariantCount("answers: what was delivered before an error is a beginning of the own answer").also { count ->
            records.filter { !it.whole && it.status == HTTP_OK }.forEach { count.observe(it.correct) { "$it" } }
        }

    private fun notRun() =
        InvariantCount("refusals: 'not run' is true").also { count ->
            val bodies = engineLogs.flatMap { it.second.requests }.map { it.body }
            val seen = MarkerIndex(bodies)
            records
                .filter { it.ran == "no" && it.kind in SINGLE_KINDS }
                .forEach { count.observe(!seen.contains(it.marker)) { "$it" } }
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
                count.observe(key != null && calls.size == 1) { "$key was executed ${calls.size} times" }
            }
        }

    private fun recordedDeposits() =
        InvariantCount("at most once: answered deposits were executed").also { count ->
            val keys = executed.mapNotNull { it.idempotencyKey }.toSet()
            records.filter { it.idempotencyKey != null }.groupBy { it.idempotencyKey }.forEach { (key, calls) ->
                val answered = calls.any { it.status == HTTP_OK }
                if (answered) count.observe(key in keys) { "$key was answered but not executed" }
            }
        }

    private fun fencing() =
        InvariantCount("orders: one holder per fencing number, numbers never go back").also { count ->
            val holders = mutableMapOf<Long, String>()
            var highest = 0L
            received.orders.filter { it.status != CONFLICT }.forEach { order ->
                val number = order.order.fencingToken.value
                val holder = holders.getOrPut(number) { order.order.holder.value }
                count.observe(
                    holder == order.order.holder.value && number >= highest,
                ) { "$order after number $highest" }
                highest = maxOf(highest, number)
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
            val rate =
                (FaultFleet.ENGINES + FaultFleet.SPARES) * FaultFleet.SLOTS_PER_ENGINE * FaultFleet.TOKENS_PER_SECOND
            val perKill = rate / fleet.vms.size * LOSS_SECONDS
            val discarded = records.size * DISCARDED_TOKENS
            val bound = (injector.kills * perKill).toLong() + discarded
            println("  usage: generated $generated, reported $reported, loss ${generated - reported}, bound $bound")
            count.observe(reported in (generated - bound)..generated) { "generated $generated, reported $reported" }
        }

    private fun firstReports(): List<ReceivedUsage> =
        received.usage
            .filter { it.status < CONFLICT }
            .distinctBy { it.report.organisation to it.report.window }

    private fun keysStayHere() =
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

    /** A key in the body or the query is refused; copies in other headers are not passed on. */
    private fun misplacedKeys() =
        InvariantCount("keys: requests with a misplaced key are refused or lose it").also { count ->
            records.filter { it.kind == "misplaced key" && it.status > 0 }.forEach { record ->
                val answered = record.status == HTTP_OK
                count.observe(!answered || record.marker.endsWith("-c")) { "$record" }
            }
        }

    private fun leavingServers() =
        InvariantCount("leaving: no new work for a reclaimed server after 5 s").also { count ->
            injector.leaving.forEach { span ->
                val slot = fleet.spares.first { it.id == span.engine }
                val late =
                    slot
                        .received()
                        .flatMap { (start, log) ->
                            log.requests.map { start + it.millisecond.milliseconds }
                        }.count { it > span.from && it < (span.to ?: it) }
                count.observe(late == 0) { "${span.engine} got $late requests" }
            }
        }

    private fun gracefulStreams() =
        InvariantCount("graceful stop: no request is cut by it").also { count ->
            fleet.vms.forEach { vm ->
                vm.disturbances.filter { it.kind == Disturbance.RESTARTED }.forEach { span ->
                    val end = span.end ?: return@forEach
                    records
                        .filter { it.vm == vm.id && it.start < end && it.end > span.start && it.status > 0 }
                        .filterNot { vm.disturbedBetween(it, setOf(Disturbance.KILLED, Disturbance.FROZEN)) }
                        .forEach { count.observe(!it.broken) { "$it" } }
                }
            }
        }

    /** Faults are over when the rolling restart begins, so that these refusals can have no other cause. */
    private fun rollingRefusals() =
        InvariantCount("rolling restart: no request is refused for it").also { count ->
            val start = injector.rollingStart.get() ?: return@also
            records.filter { it.start > start && it.status > 0 }.forEach {
                count.observe(it.error !in RESTART_KINDS) { "$it" }
            }
        }

    private fun VmProcess.disturbedBetween(
        record: CallRecord,
        kinds: Set<String>,
    ): Boolean =
        disturbances.any { it.kind in kinds && it.start < record.end && (it.end == null || it.end!! > record.start) }

    private fun poison() =
        InvariantCount("crashing requests: held after the second crash").also { count ->
            traffic.poison.forEach { marker ->
                val runs = engineLogs.flatMap { it.second.requests }.count { marker in it.body }
                if (runs > 0) count.observe(runs <= CRASHES_BEFORE_HELD) { "$marker reached $runs servers" }
            }
        }

    private fun served(kind: String) =
        InvariantCount("no starvation: $kind requests are answered").also { count ->
            val whole = records.count { it.kind == kind && it.whole }
            if (records.any { it.kind == kind }) count.observe(whole > 0) { "none of them was answered" }
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

        /** What a VM that stops or starts answers. */
        val RESTART_KINDS = setOf("draining", "not_configured", "isolated")
        const val CRASHES_BEFORE_HELD = 2
        val SINGLE_KINDS = setOf("quick chat", "hurried chat", "drawing review", "batch")
        val FAILED_ASSERTIONS = listOf("IllegalStateException", "1005 part_failed", "request_error")

        /** Flushes are 2 s apart; one second more for a flush under way. */
        const val LOSS_SECONDS = 3.0

        /** Tokens that an engine generates after the VM closed a stream and before it notices. */
        const val DISCARDED_TOKENS = 12
    }
}
