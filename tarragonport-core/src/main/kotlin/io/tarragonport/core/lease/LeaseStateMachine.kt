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
 *
 * A store that was restored from an older copy may show a lease that has ended since, or none although another process
 * holds one. After [onStoreRestored] a process therefore acquires a lease only once every lease of before has expired,
 * unless it held the lease itself. [tokens] chooses the fencing tokens.
 */
class LeaseStateMachine(
    private val owner: LeaseOwner,
    private val settings: LeaseSettings,
    private val clock: TimeSource.WithComparableMarks,
    private val tokens: FencingTokenSource = SequentialFencingTokens,
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
    private var releasing = false
    private var released = false
    private var restoredAt: ComparableTimeMark? = null

    private var interrupted: InterruptedLease? = null

    /** The highest fencing token that this process knows. */
    var highestFencingToken = FencingToken(0)
        private set

    /** Fencing token of the held lease, even after its validity has expired. */
    val fencingToken: FencingToken? get() = confirmedLease?.record?.fencingToken

    /** Since when no other process has held the held lease; null without a lease. */
    val heldSince: ComparableTimeMark? get() = confirmedLease?.heldSince

    /** The next action; a process that is not [eligible] renews a lease that it holds but acquires none. */
    fun next(eligible: Boolean): LeaseAction {
        val now = clock.markNow()
        val current = confirmedLease
        val nextRead = readDue
        val candidate = eligible || reacquirable(now)
        return when {
            released || (releasing && current == null) -> LeaseAction.Finished
            readRequired && nextRead != null -> readAt(nextRead, now)
            current != null -> renewWhenDue(current, now)
            !candidate -> LeaseAction.Wait(settings.observeInterval)
            nextRead != null && nextRead <= now -> LeaseAction.Read
            canAcquire(now) -> write(acquisition(), conditionOf(observed?.version), now)
            else -> LeaseAction.Wait(untilNextStep(now))
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
        record?.let { onTokenSeen(it.fencingToken) }
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

    /**
     * Reports that the last write took effect and the object now has [version]. This is ignored if the store was
     * restored since the write was requested, because it may have taken effect before.
     */
    fun onWritten(version: ObjectVersion) {
        val attempt = inFlight ?: return
        unknownOutcome = emptyList()
        takeEffect(attempt, version, clock.markNow())
    }

    /**
     * Reports that the last write failed with a version conflict or had no response. Both lead to a read, because a
     * lower layer may have repeated the write and conflicted with its own version.
     */
    fun onWriteOutcomeUnknown() {
        val attempt = inFlight ?: return
        val now = clock.markNow()
        inFlight = null
        unknownOutcome = unknownOutcome + attempt
        readRequired = true
        readDue = now
        acquireDue = now + settings.retryInterval
    }

    /** Reports that another process knows [token]; leases acquired later have higher ones. */
    fun onTokenSeen(token: FencingToken) {
        highestFencingToken = maxOf(highestFencingToken, token)
    }

    /**
     * Reports that the store was restored from an older copy: the permit ends, and the lease object is read again.
     * Writes that are still in progress do not count, whatever their outcome.
     */
    fun onStoreRestored() {
        val now = clock.markNow()
        confirmedLease?.let { interrupted = InterruptedLease(it.heldSince, it.sentAt + settings.validity) }
        clearLease()
        restoredAt = now
        observed = null
        inFlight = null
        unknownOutcome = emptyList()
        readRequired = true
        readDue = now
        acquireDue = now
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
        acquireDue <= now && observed?.let { reacquirable(now) || freeAt(it) <= now } ?: false

    private fun reacquirable(now: ComparableTimeMark): Boolean = interrupted?.let { now < it.until } ?: false

    private fun freeAt(lease: ObservedLease): ComparableTimeMark {
        val record = lease.record
        val free =
            if (record?.holder ==
                null
            ) {
                lease.seenAt
            } else {
                lease.seenAt + observedDuration(record) + settings.margin
            }
        return restoredAt?.let { maxOf(free, it + settings.duration + settings.margin) } ?: free
    }

    private fun observedDuration(record: LeaseRecord): Duration =
        maxOf(settings.duration, record.durationMs.milliseconds)

    private fun untilNextStep(now: ComparableTimeMark): Duration {
        val read = readDue ?: (now + settings.observeInterval)
        val free = observed?.let { maxOf(if (reacquirable(now)) now else freeAt(it), acquireDue) } ?: read
        return minOf(read, free) - now
    }

    private fun acquisition(): LeaseRecord = ownRecord(tokens.after(highestFencingToken))

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
        when {
            attempt.record.holder == null -> {
                released = true
                clearLease()
            }

            confirmedLease == null && attempt.record.fencingToken < highestFencingToken -> {
                interrupted = InterruptedLease(now, attempt.sentAt + settings.validity)
                observe(version, attempt.record, now)
            }

            else -> {
                confirm(attempt, version, now)
            }
        }
    }

    private fun confirm(
        attempt: LeaseAttempt,
        version: ObjectVersion,
        now: ComparableTimeMark,
    ) {
        val token = attempt.record.fencingToken
        val previous = confirmedLease
        check(previous == null || previous.record.fencingToken == token) { "a renewal changed the fencing token" }
        check(attempt.sentAt <= now) { "the monotonic clock went backwards" }
        onTokenSeen(token)
        val ordersFrom = previous?.ordersFrom ?: (now + settings.takeoverDelay)
        val heldSince = previous?.heldSince ?: interrupted?.takeIf { attempt.sentAt < it.until }?.heldSince ?: now
        confirmedLease = ConfirmedLease(version, attempt.record, attempt.sentAt, ordersFrom, heldSince)
        interrupted = null
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
