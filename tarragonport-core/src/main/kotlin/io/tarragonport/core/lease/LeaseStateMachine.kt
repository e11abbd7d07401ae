package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.PutCondition
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Decides how one process observes, acquires, renews and releases one lease (`docs/design.md` section 7).
 *
 * The caller alternates between [next] and the event that reports what came of the action. All calls but the reading of
 * [permit] come from one thread.
 *
 * A write is in effect only if its answer said so or a read showed its attempt number. A read that shows the version
 * confirmed last neither extends nor ends the validity: the write may still arrive, and the next renewal has the same
 * condition and another attempt number, so at most one of them takes effect.
 */
class LeaseStateMachine(
    private val owner: LeaseOwner,
    private val settings: LeaseSettings,
    private val clock: TimeSource.WithComparableMarks,
) {
    /** The permit in force, null without a lease; safe to read from any thread. Its validity has to be checked. */
    @Volatile
    var permit: LeasePermit? = null
        private set

    private var held: HeldLease? = null
    private var observed: ObservedLease? = null
    private var sending: LeaseAttempt? = null
    private var undecided: List<LeaseAttempt> = emptyList()
    private var readDue: ComparableTimeMark? = clock.markNow()
    private var renewDue: ComparableTimeMark = clock.markNow()
    private var acquireDue: ComparableTimeMark = clock.markNow()
    private var readRequired = false
    private var attempts = 0L
    private var highestFencingNumber = FencingToken(0)
    private var releasing = false
    private var released = false

    /** Fencing number under which the lease is held, also while its validity has lapsed. */
    val fencingToken: FencingToken? get() = held?.record?.fencingToken

    /** The next action; a process that is not [eligible] keeps a lease that it holds but acquires none. */
    fun next(eligible: Boolean): LeaseAction {
        val now = clock.markNow()
        val holding = held
        val reading = readDue
        return when {
            released || (releasing && holding == null) -> LeaseAction.Finished
            readRequired && reading != null -> readAt(reading, now)
            holding != null -> hold(holding, now)
            !eligible -> LeaseAction.Wait(settings.observeInterval)
            reading != null && reading <= now -> LeaseAction.Read
            eligible && canAcquire(now) -> write(acquisition(), conditionOf(observed?.version), now)
            else -> LeaseAction.Wait(untilNextStep(eligible, now))
        }
    }

    /** The lease object was read; both are null if it does not exist. */
    fun onRead(
        version: ObjectVersion?,
        record: LeaseRecord?,
    ) {
        val now = clock.markNow()
        readRequired = false
        val effective = undecided.find { it.record == record }
        val confirmed = held?.takeIf { it.version == version }
        record?.let { highestFencingNumber = maxOf(highestFencingNumber, it.fencingToken) }
        undecided = undecided.filter { it.condition == conditionOf(version) }
        when {
            confirmed != null -> {
                readDue = null
                renewDue = now + settings.retryInterval
            }

            effective != null && version != null -> {
                takeEffect(effective, version, now)
            }

            else -> {
                observe(version, record, now)
            }
        }
    }

    /** The lease object could not be read. */
    fun onReadFailed() {
        readDue = clock.markNow() + settings.retryInterval
    }

    /** The write of the last action took effect and gave the object [version]. */
    fun onWritten(version: ObjectVersion) {
        val attempt = checkNotNull(sending) { "no write is under way" }
        undecided = emptyList()
        takeEffect(attempt, version, clock.markNow())
    }

    /**
     * The write of the last action met another version or had no answer. Both lead to a read, because a layer below may
     * have repeated the write and met its own version.
     */
    fun onWriteOutcomeUnknown() {
        val attempt = checkNotNull(sending) { "no write is under way" }
        val now = clock.markNow()
        sending = null
        undecided = undecided + attempt
        readRequired = true
        readDue = now
        acquireDue = now + settings.retryInterval
    }

    /** Gives the lease up; [permit] is null from here on. */
    fun requestRelease() {
        releasing = true
        permit = null
        renewDue = clock.markNow()
    }

    private fun readAt(
        due: ComparableTimeMark,
        now: ComparableTimeMark,
    ): LeaseAction = if (due <= now) LeaseAction.Read else LeaseAction.Wait(due - now)

    private fun hold(
        holding: HeldLease,
        now: ComparableTimeMark,
    ): LeaseAction =
        when {
            renewDue > now -> LeaseAction.Wait(renewDue - now)
            else -> write(updateOf(holding), PutCondition.Version(holding.version), now)
        }

    private fun canAcquire(now: ComparableTimeMark): Boolean =
        acquireDue <= now && observed?.let { freeAt(it) <= now } ?: false

    private fun freeAt(lease: ObservedLease): ComparableTimeMark {
        val record = lease.record
        return if (record?.holder == null) lease.since else lease.since + observedDuration(record) + settings.margin
    }

    private fun observedDuration(record: LeaseRecord): Duration =
        maxOf(settings.duration, record.durationMs.milliseconds)

    private fun untilNextStep(
        eligible: Boolean,
        now: ComparableTimeMark,
    ): Duration {
        val read = readDue ?: (now + settings.observeInterval)
        val free = observed?.takeIf { eligible }?.let { maxOf(freeAt(it), acquireDue) } ?: read
        return minOf(read, free) - now
    }

    private fun acquisition(): LeaseRecord = ownRecord(FencingToken(highestFencingNumber.value + 1))

    private fun updateOf(holding: HeldLease): LeaseRecord {
        val renewal = ownRecord(holding.record.fencingToken)
        return if (releasing) renewal.copy(holder = null) else renewal
    }

    private fun ownRecord(fencingToken: FencingToken): LeaseRecord =
        LeaseRecord(
            holder = owner.vm,
            incarnation = owner.incarnation,
            fencingToken = fencingToken,
            durationMs = settings.duration.inWholeMilliseconds,
            attempt = ++attempts,
        )

    private fun write(
        record: LeaseRecord,
        condition: PutCondition,
        now: ComparableTimeMark,
    ): LeaseAction {
        sending = LeaseAttempt(record, condition, now)
        return LeaseAction.Write(record, condition)
    }

    private fun conditionOf(version: ObjectVersion?): PutCondition =
        version?.let(PutCondition::Version) ?: PutCondition.Absent

    private fun takeEffect(
        attempt: LeaseAttempt,
        version: ObjectVersion,
        now: ComparableTimeMark,
    ) {
        sending = null
        readDue = null
        if (attempt.record.holder == null) {
            released = true
            drop()
        } else {
            keep(attempt, version, now)
        }
    }

    private fun keep(
        attempt: LeaseAttempt,
        version: ObjectVersion,
        now: ComparableTimeMark,
    ) {
        val number = attempt.record.fencingToken
        val previous = held
        check(number >= highestFencingNumber) { "fencing number $number is lower than $highestFencingNumber" }
        check(previous == null || previous.record.fencingToken == number) { "a renewal changed the fencing number" }
        check(attempt.sentAt <= now) { "the monotonic clock went back" }
        highestFencingNumber = number
        val ordersFrom = previous?.ordersFrom ?: (now + settings.takeoverDelay)
        held = HeldLease(version, attempt.record, attempt.sentAt, ordersFrom)
        observed = null
        renewDue = attempt.sentAt + settings.renewInterval
        if (!releasing) {
            permit = LeasePermit(number, ordersFrom, attempt.sentAt + settings.validity)
        }
    }

    private fun observe(
        version: ObjectVersion?,
        record: LeaseRecord?,
        now: ComparableTimeMark,
    ) {
        drop()
        if (observed == null || observed?.version != version) {
            observed = ObservedLease(version, record, now)
        }
        readDue = now + settings.observeInterval
    }

    private fun drop() {
        held = null
        permit = null
    }
}
