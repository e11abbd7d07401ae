package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.PutCondition
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * State machine by which one process observes, acquires, renews and releases one lease.
 *
 * The caller alternates between [next] and the event that reports the result of the action. Not thread-safe, except for
 * reading [permit].
 *
 * A write counts as effective only if its response confirmed it or a read returned its attempt number. A read that
 * returns the last confirmed version neither extends nor ends the validity, because a write without response may still
 * arrive. The next renewal has the same condition and another attempt number, so at most one of the two takes effect.
 */
class LeaseStateMachine(
    private val owner: LeaseOwner,
    private val settings: LeaseSettings,
    private val clock: TimeSource.WithComparableMarks,
) {
    /** The current permit, null without a lease. Thread-safe; the caller has to check its validity. */
    @Volatile
    var permit: LeasePermit? = null
        private set

    private var confirmedLease: ConfirmedLease? = null
    private var observed: ObservedLease? = null
    private var inFlight: LeaseAttempt? = null
    private var unknownOutcome: List<LeaseAttempt> = emptyList()
    private var readDue: ComparableTimeMark? = clock.markNow()
    private var renewDue: ComparableTimeMark = clock.markNow()
    private var acquireDue: ComparableTimeMark = clock.markNow()
    private var readRequired = false
    private var lastAttempt = 0L
    private var highestFencingToken = FencingToken(0)
    private var releasing = false
    private var released = false

    /** Fencing token of the held lease, even after its validity has expired. */
    val fencingToken: FencingToken? get() = confirmedLease?.record?.fencingToken

    /** The next action; a process that is not [eligible] renews a lease that it holds but acquires none. */
    fun next(eligible: Boolean): LeaseAction {
        val now = clock.markNow()
        val current = confirmedLease
        val nextRead = readDue
        return when {
            released || (releasing && current == null) -> LeaseAction.Finished
            readRequired && nextRead != null -> readAt(nextRead, now)
            current != null -> renewWhenDue(current, now)
            !eligible -> LeaseAction.Wait(settings.observeInterval)
            nextRead != null && nextRead <= now -> LeaseAction.Read
            eligible && canAcquire(now) -> write(acquisition(), conditionOf(observed?.version), now)
            else -> LeaseAction.Wait(untilNextStep(eligible, now))
        }
    }

    /** Reports a read of the lease object; both parameters are null if it does not exist. */
    fun onRead(
        version: ObjectVersion?,
        record: LeaseRecord?,
    ) {
        val now = clock.markNow()
        readRequired = false
        val effective = unknownOutcome.find { it.record == record }
        val confirmed = confirmedLease?.takeIf { it.version == version }
        record?.let { highestFencingToken = maxOf(highestFencingToken, it.fencingToken) }
        unknownOutcome = unknownOutcome.filter { it.condition == conditionOf(version) }
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

    /** Reports that the lease object could not be read. */
    fun onReadFailed() {
        readDue = clock.markNow() + settings.retryInterval
    }

    /** Reports that the last write took effect and the object now has [version]. */
    fun onWritten(version: ObjectVersion) {
        val attempt = checkNotNull(inFlight) { "no lease write is in progress" }
        unknownOutcome = emptyList()
        takeEffect(attempt, version, clock.markNow())
    }

    /**
     * Reports that the last write failed with a version conflict or had no response. Both lead to a read, because a
     * lower layer may have repeated the write and conflicted with its own version.
     */
    fun onWriteOutcomeUnknown() {
        val attempt = checkNotNull(inFlight) { "no lease write is in progress" }
        val now = clock.markNow()
        inFlight = null
        unknownOutcome = unknownOutcome + attempt
        readRequired = true
        readDue = now
        acquireDue = now + settings.retryInterval
    }

    /** Starts releasing the lease; [permit] is null from now on. */
    fun requestRelease() {
        releasing = true
        permit = null
        renewDue = clock.markNow()
    }

    private fun readAt(
        due: ComparableTimeMark,
        now: ComparableTimeMark,
    ): LeaseAction = if (due <= now) LeaseAction.Read else LeaseAction.Wait(due - now)

    private fun renewWhenDue(
        current: ConfirmedLease,
        now: ComparableTimeMark,
    ): LeaseAction =
        when {
            renewDue > now -> LeaseAction.Wait(renewDue - now)
            else -> write(updateOf(current), PutCondition.Version(current.version), now)
        }

    private fun canAcquire(now: ComparableTimeMark): Boolean =
        acquireDue <= now && observed?.let { freeAt(it) <= now } ?: false

    private fun freeAt(lease: ObservedLease): ComparableTimeMark {
        val record = lease.record
        return if (record?.holder == null) lease.seenAt else lease.seenAt + observedDuration(record) + settings.margin
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

    private fun acquisition(): LeaseRecord = ownRecord(FencingToken(highestFencingToken.value + 1))

    private fun updateOf(current: ConfirmedLease): LeaseRecord {
        val renewal = ownRecord(current.record.fencingToken)
        return if (releasing) renewal.copy(holder = null) else renewal
    }

    private fun ownRecord(fencingToken: FencingToken): LeaseRecord =
        LeaseRecord(
            holder = owner.vm,
            incarnation = owner.incarnation,
            fencingToken = fencingToken,
            durationMs = settings.duration.inWholeMilliseconds,
            attempt = ++lastAttempt,
        )

    private fun write(
        record: LeaseRecord,
        condition: PutCondition,
        now: ComparableTimeMark,
    ): LeaseAction {
        inFlight = LeaseAttempt(record, condition, now)
        return LeaseAction.Write(record, condition)
    }

    private fun conditionOf(version: ObjectVersion?): PutCondition =
        version?.let(PutCondition::Version) ?: PutCondition.Absent

    private fun takeEffect(
        attempt: LeaseAttempt,
        version: ObjectVersion,
        now: ComparableTimeMark,
    ) {
        inFlight = null
        readDue = null
        if (attempt.record.holder == null) {
            released = true
            clearLease()
        } else {
            confirm(attempt, version, now)
        }
    }

    private fun confirm(
        attempt: LeaseAttempt,
        version: ObjectVersion,
        now: ComparableTimeMark,
    ) {
        val token = attempt.record.fencingToken
        val previous = confirmedLease
        check(token >= highestFencingToken) { "fencing token $token is lower than $highestFencingToken" }
        check(previous == null || previous.record.fencingToken == token) { "a renewal changed the fencing token" }
        check(attempt.sentAt <= now) { "the monotonic clock went backwards" }
        highestFencingToken = token
        val ordersFrom = previous?.ordersFrom ?: (now + settings.takeoverDelay)
        confirmedLease = ConfirmedLease(version, attempt.record, attempt.sentAt, ordersFrom)
        observed = null
        renewDue = attempt.sentAt + settings.renewInterval
        if (!releasing) {
            permit = LeasePermit(token, ordersFrom, attempt.sentAt + settings.validity)
        }
    }

    private fun observe(
        version: ObjectVersion?,
        record: LeaseRecord?,
        now: ComparableTimeMark,
    ) {
        clearLease()
        if (observed == null || observed?.version != version) {
            observed = ObservedLease(version, record, now)
        }
        readDue = now + settings.observeInterval
    }

    private fun clearLease() {
        confirmedLease = null
        permit = null
    }
}
