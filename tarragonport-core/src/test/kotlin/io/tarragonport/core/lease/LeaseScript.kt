package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PutCondition
import kotlin.test.assertEquals
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * One lease object and the processes that compete for it, with a test clock.
 *
 * With [eras], the store reports its era in each response, and a process learns of a restore with the next response that
 * it receives.
 */
class LeaseScript(
    val settings: LeaseSettings = LeaseSettings(),
    val clock: TestTimeSource = TestTimeSource(),
    private val eras: Boolean = false,
    private val tokens: (LeaseOwner) -> FencingTokenSource = { SequentialFencingTokens },
) {
    private val machines = mutableMapOf<String, LeaseStateMachine>()
    private val delayed = mutableListOf<LeaseAction.Write>()
    private var era = 1
    private val knownEras = mutableMapOf<String, Int>()
    private val orders = mutableListOf<Order>()
    private var revision = 0L
    var version: ObjectVersion? = null
        private set
    var record: LeaseRecord? = null
        private set

    /** Content of the lease object at one moment. */
    class Copy(
        val version: ObjectVersion?,
        val record: LeaseRecord?,
        val revision: Long,
    )

    private class Order(
        val name: String,
        val token: FencingToken,
        val givenAt: ComparableTimeMark,
    )

    fun machine(name: String): LeaseStateMachine =
        machines.getOrPut(name) {
            val owner = LeaseOwner(VmId(name), Incarnation(1))
            LeaseStateMachine(owner, settings, clock, tokens(owner))
        }

    fun copy() = Copy(version, record, revision)

    /** Replaces the store's content by [copy]; revisions after that of [copy] are assigned again. */
    fun restore(copy: Copy) {
        era++
        version = copy.version
        record = copy.record
        revision = copy.revision
    }

    /** Raises the revision of the store, as a change of another object does. */
    fun changeOtherObject() {
        revision++
    }

    /** Gives an order as [name] if it may, and checks it against all orders given before. */
    fun order(name: String) {
        val token = FencingToken(authorized(name, Duration.ZERO) ?: return)
        orders.forEach { earlier ->
            check(earlier.token <= token) { "$name uses $token after ${earlier.name} used ${earlier.token}" }
            check(earlier.name == name || earlier.token != token) { "$name and ${earlier.name} share token $token" }
        }
        val own = orders.lastOrNull { it.name == name }
        val alternates = own != null && orders.last().name != name
        check(
            !alternates || own.givenAt.elapsedNow() > settings.duration,
        ) { "$name and ${orders.last().name} alternate" }
        orders += Order(name, token, clock.markNow())
    }

    /** Runs the processes [names] side by side for [duration]; each gives orders whenever it may. */
    fun runTogether(
        names: List<String>,
        duration: Duration,
    ) {
        val end = clock.markNow() + duration
        while (end.hasNotPassedNow()) {
            names.forEach {
                settle(it)
                order(it)
            }
            advance(ORDER_INTERVAL)
        }
    }

    /** Names of the processes that gave orders, in the order of their first one. */
    fun orderingProcesses(): List<String> = orders.map { it.name }.distinct()

    private fun responseReceived(name: String) {
        if (eras && knownEras.put(name, era) != era) machine(name).onStoreRestored()
    }

    fun advance(duration: Duration) {
        clock += duration
    }

    /** Runs the next action of [name]; the response to a write arrives after [responseDelay] unless it is [lost]. */
    fun step(
        name: String,
        lost: Boolean = false,
        responseDelay: Duration = Duration.ZERO,
        delayWrite: Boolean = false,
    ): LeaseAction {
        val machine = machine(name)
        val action = machine.next(eligible = true)
        when (action) {
            LeaseAction.Read -> {
                responseReceived(name)
                machine.onRead(version, record)
            }

            is LeaseAction.Write -> {
                if (delayWrite) delayed += action
                val effect = !delayWrite && apply(action)
                advance(responseDelay)
                if (!delayWrite && !lost) responseReceived(name)
                if (effect && !lost) machine.onWritten(version!!) else machine.onWriteOutcomeUnknown()
            }

            else -> {
                Unit
            }
        }
        return action
    }

    /** Applies the delayed writes of [step] with `delayWrite` to the object. */
    fun deliverDelayed() = delayed.toList().also { delayed.clear() }.map { apply(it) }

    /** Steps [name] until it waits. */
    fun settle(name: String) {
        while (true) {
            val action = step(name)
            if (action is LeaseAction.Wait || action == LeaseAction.Finished) return
        }
    }

    /** Steps [name] for [duration], waiting as long as its actions request. */
    fun run(
        name: String,
        duration: Duration,
    ) {
        val end = clock.markNow() + duration
        while (true) {
            settle(name)
            val remaining = end - clock.markNow()
            val wait = (machine(name).next(eligible = true) as? LeaseAction.Wait)?.duration ?: remaining
            if (wait >= remaining) {
                advance(remaining)
                return
            }
            advance(wait)
        }
    }

    /** Counts the calls of [name] in [duration] while writes fail after 1 ms, and reads too unless [readsSucceed]. */
    fun callsWithoutResponse(
        name: String,
        duration: Duration,
        readsSucceed: Boolean = false,
    ): Int {
        val machine = machine(name)
        val end = clock.markNow() + duration
        var calls = 0
        while (end.hasNotPassedNow()) {
            val action = machine.next(eligible = true)
            advance((action as? LeaseAction.Wait)?.duration ?: 1.milliseconds)
            when {
                action is LeaseAction.Write -> machine.onWriteOutcomeUnknown()
                action == LeaseAction.Read && readsSucceed -> machine.onRead(version, record)
                action == LeaseAction.Read -> machine.onReadFailed()
            }
            calls += if (action is LeaseAction.Wait) 0 else 1
        }
        return calls
    }

    fun authorized(
        name: String,
        longestCall: Duration = 3.seconds,
    ): Long? =
        machine(name)
            .permit
            ?.takeIf { it.covers(clock.markNow(), longestCall) }
            ?.fencingToken
            ?.value

    /** Checks the fencing tokens [a] and [b] with which the processes `a` and `b` may act now. */
    fun expect(
        a: Long?,
        b: Long? = null,
    ) = assertEquals(a to b, authorized("a") to authorized("b"))

    private fun apply(action: LeaseAction.Write): Boolean {
        val conditionMet =
            when (val condition = action.condition) {
                PutCondition.Absent -> version == null
                is PutCondition.Version -> version == condition.version
            }
        if (conditionMet) {
            val current = record?.fencingToken ?: FencingToken(0)
            check(era > 1 || action.record.fencingToken >= current) { "fencing token decreased" }
            version = ObjectVersion(++revision)
            record = action.record
        }
        return conditionMet
    }

    private companion object {
        val ORDER_INTERVAL = 100.milliseconds
    }
}
