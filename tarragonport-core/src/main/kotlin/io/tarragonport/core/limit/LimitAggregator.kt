package io.tarragonport.core.limit

import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import io.tarragonport.api.peer.LimitGrant
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Divides limits among VMs in proportion to their demand, for the organisations whose aggregator this VM is.
 *
 * A new aggregator grants nothing during [WARM_UP], because it has not heard all VMs yet; they keep the shares of its
 * predecessor. What silent VMs may still use is set aside. Far below a limit each VM gets its demand and an equal part of
 * what is left; when the demand approaches the limit, [takeUnsolicitedGrants] tells the VMs that did not report.
 */
class LimitAggregator(
    private val timeSource: TimeSource,
    private val limitOf: (LimitSubject) -> Limit? = { null },
) {
    private val subjects = HashMap<LimitSubject, LimitedSubject>()
    private val approaching = HashMap<VmId, MutableList<LimitGrant>>()

    /** Takes the report of [from] and returns its shares; empty during the warm-up. */
    fun report(
        from: VmId,
        entries: List<LimitDemand>,
        fleet: FleetSize,
    ): List<LimitGrant> =
        entries.mapNotNull { entry ->
            val key = LimitSubject(entry.organisation, entry.key)
            val subject = subjects.getOrPut(key) { LimitedSubject(timeSource) }
            val reporter = subject.reporters.getOrPut(from) { Reporter(timeSource, entry) }
            reporter.report(entry)
            if (subject.warmingUp) null else update(from, key, subject, fleet)
        }

    /** Shares of VMs that did not ask for them, because an organisation approached its limit; empties the list. */
    fun takeUnsolicitedGrants(): Map<VmId, List<LimitGrant>> =
        HashMap<VmId, List<LimitGrant>>(approaching).also {
            approaching.clear()
        }

    /** Forgets organisations and VMs that have been silent for long. */
    fun expire() {
        subjects.values.forEach { subject ->
            val forgetAfter = if (subject.distant) LocalLimit.DISTANT_IDLE_AFTER else FORGET_AFTER
            subject.reporters.values.removeIf { minOf(it.age, subject.nearFor) >= forgetAfter }
        }
        subjects.values.removeIf { it.reporters.isEmpty() }
    }

    /** Forgets [vm], which announced that it leaves and therefore uses no share any more. */
    fun left(vm: VmId) = subjects.values.forEach { it.reporters.remove(vm) }

    private fun update(
        from: VmId,
        key: LimitSubject,
        subject: LimitedSubject,
        fleet: FleetSize,
    ): LimitGrant {
        val limit = limitOf(key)
        if (subject.update(limit, fleet)) {
            (subject.reporters - from).forEach { (vm, reporter) ->
                approaching.getOrPut(vm) { mutableListOf() } += grant(key, subject, reporter, fleet, limit)
            }
        }
        return grant(key, subject, subject.reporters.getValue(from), fleet, limit)
    }

    private fun grant(
        key: LimitSubject,
        subject: LimitedSubject,
        reporter: Reporter,
        fleet: FleetSize,
        limit: Limit?,
    ): LimitGrant {
        val active = subject.active()
        if (subject.distant) {
            reporter.requestShare = loose(active, reporter, fleet, limit?.requestsPerMinute) { it.requests.toDouble() }
            reporter.tokenShare = loose(active, reporter, fleet, limit?.tokensPerMinute) { it.tokens.toDouble() }
        } else {
            reporter.requestShare =
                share(subject, active, reporter, fleet, { it.requestShare }) { it.requests.toDouble() }
            reporter.tokenShare = share(subject, active, reporter, fleet, { it.tokenShare }) { it.tokens.toDouble() }
        }
        val requests = millionths(reporter.requestShare)
        return LimitGrant(key.organisation, key.key, requests, millionths(reporter.tokenShare), subject.distant)
    }

    /** The reporter's demand and an equal part of what the known demand leaves of [limit]; all add up to the limit. */
    private fun loose(
        active: List<Reporter>,
        reporter: Reporter,
        fleet: FleetSize,
        limit: Long?,
        demand: (LimitDemand) -> Double,
    ): Double {
        if (limit == null || limit <= 0) return fleet.equalShare
        val left = 1 - active.sumOf { demand(it.demand) } / limit
        return demand(reporter.demand) / limit + left * fleet.equalShare
    }

    private fun share(
        subject: LimitedSubject,
        active: List<Reporter>,
        reporter: Reporter,
        fleet: FleetSize,
        granted: (Reporter) -> Double,
        demand: (LimitDemand) -> Double,
    ): Double {
        val total = active.sumOf { demand(it.demand) }
        val proportional = if (total > 0) demand(reporter.demand) / total else 1.0 / active.size
        val available = 1 - setAside(subject, fleet, granted)
        return available * (FLOOR / active.size + (1 - FLOOR) * proportional)
    }

    /**
     * What silent VMs may use: their falling shares while these last, and the reserve for lost ones. Of a single silent
     * VM, which is as likely stopped as cut off, half is set aside.
     */
    private fun setAside(
        subject: LimitedSubject,
        fleet: FleetSize,
        granted: (Reporter) -> Double,
    ): Double {
        val silent = subject.reporters.values.filter { it.silence(subject.nearFor) in ShareDecay.GRACE..UNCERTAIN }
        val falling = silent.sumOf { ShareDecay.share(granted(it), 0.0, it.silence(subject.nearFor)) }
        val part = if (silent.size == 1) SINGLE_SILENT_PART else 1.0
        return maxOf(part * falling, fleet.reserve).coerceAtMost(1 - fleet.fallbackShare)
    }

    private fun millionths(share: Double): Int = (share * LimitGrant.FULL_SHARE).roundToInt()

    companion object {
        /** Longer than the interval of reports, so that every VM has reported to a new aggregator. */
        val WARM_UP: Duration = 1_300.milliseconds

        /** Part of a limit that is divided equally, so that a VM with its first callers need not wait for a report. */
        const val FLOOR = 0.02

        /** Setting all of it aside for a busy VM that has stopped admitted 12% too little in the next minute. */
        private const val SINGLE_SILENT_PART = 0.5

        private val UNCERTAIN = ShareDecay.GRACE + ShareDecay.FALL
        private val FORGET_AFTER = 30.seconds
    }
}
