package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PutCondition
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** One lease object and the processes that compete for it, on a paused clock. */
class LeaseScript(
    val settings: LeaseSettings = LeaseSettings(),
) {
    val clock = TestTimeSource()
    private val machines = mutableMapOf<String, LeaseStateMachine>()
    private val delayed = mutableListOf<LeaseAction.Write>()
    private var revision = 0L
    var version: ObjectVersion? = null
        private set
    var record: LeaseRecord? = null
        private set

    fun machine(name: String): LeaseStateMachine =
        machines.getOrPut(name) { LeaseStateMachine(LeaseOwner(VmId(name), Incarnation(1)), settings, clock) }

    fun pass(duration: Duration) {
        clock += duration
    }

    /** Does the next action of [name]; the answer to a write arrives after [answerAfter] unless it is [lost]. */
    fun step(
        name: String,
        lost: Boolean = false,
        answerAfter: Duration = Duration.ZERO,
        arrivesLater: Boolean = false,
    ): LeaseAction {
        val machine = machine(name)
        val action = machine.next(eligible = true)
        when (action) {
            LeaseAction.Read -> {
                machine.onRead(version, record)
            }

            is LeaseAction.Write -> {
                if (arrivesLater) delayed += action
                val effect = !arrivesLater && apply(action)
                pass(answerAfter)
                if (effect && !lost) machine.onWritten(version!!) else machine.onWriteOutcomeUnknown()
            }

            else -> {
                Unit
            }
        }
        return action
    }

    /** Lets the writes of [step] with `arrivesLater` reach the object. */
    fun arrive() = delayed.toList().also { delayed.clear() }.map { apply(it) }

    /** Steps [name] until it waits. */
    fun settle(name: String) {
        while (true) {
            val action = step(name)
            if (action is LeaseAction.Wait || action == LeaseAction.Finished) return
        }
    }

    /** Steps [name] for [duration] as its waits ask for it. */
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
                pass(remaining)
                return
            }
            pass(wait)
        }
    }

    /** Counts the calls of [name] in [duration] while writes, and reads unless [readsAnswered], fail after 1 ms. */
    fun callsWithoutAnswer(
        name: String,
        duration: Duration,
        readsAnswered: Boolean = false,
    ): Int {
        val machine = machine(name)
        val end = clock.markNow() + duration
        var calls = 0
        while (end.hasNotPassedNow()) {
            val action = machine.next(eligible = true)
            pass((action as? LeaseAction.Wait)?.duration ?: 1.milliseconds)
            when {
                action is LeaseAction.Write -> machine.onWriteOutcomeUnknown()
                action == LeaseAction.Read && readsAnswered -> machine.onRead(version, record)
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

    /** Checks which fencing numbers the processes [a] and [b] may act under now. */
    fun expect(
        a: Long?,
        b: Long? = null,
    ) = assertEquals(a to b, authorized("a") to authorized("b"))

    private fun apply(action: LeaseAction.Write): Boolean {
        val holds =
            when (val condition = action.condition) {
                PutCondition.Absent -> version == null
                is PutCondition.Version -> version == condition.version
            }
        if (holds) {
            val known = record?.fencingToken ?: FencingToken(0)
            check(action.record.fencingToken >= known) { "fencing number went back" }
            version = ObjectVersion(++revision)
            record = action.record
        }
        return holds
    }
}
