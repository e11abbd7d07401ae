package io.tarragonport.daemon.intent

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.core.intent.IntentRecord
import io.tarragonport.core.intent.IntentState
import io.tarragonport.core.intent.StoredResponse
import io.tarragonport.daemon.event.logWarning
import io.tarragonport.daemon.store.LimitedStore
import io.tarragonport.daemon.store.RetryDelay
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * The intent registry over the platform's object API (design, section 9).
 *
 * [vm] and [incarnation] make attempt ids unique in the fleet. One coroutine for each bucket runs in [scope] and
 * commits what arrived or what other VMs forwarded to this one as the bucket's owner. Safe to call from any thread.
 */
class ObjectStoreIntentRegistry(
    store: ObjectStore,
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val scope: CoroutineScope,
    private val clock: Clock,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val settings: IntentSettings = IntentSettings(),
    private val forwarding: IntentForwarding = IntentForwarding.None,
    random: Random = Random.Default,
) : IntentRegistry {
    private val attempts = AtomicLong()
    private val budget = PendingBudget(settings.pendingBytes)
    private val limited = LimitedStore(store, settings.callLimit)
    private val answers = AnswerStore(limited)
    private val buckets =
        List(IntentNames.BUCKETS) { bucket ->
            val retryDelay = RetryDelay(settings.firstRetry, settings.lastRetry, Random(random.nextLong()))
            BucketCommitter(bucket, limited, settings, clock, timeSource, budget, retryDelay)
        }
    private val forwarded = ForwardedOperations(::bucketOf, budget, settings)

    init {
        buckets.forEach { scope.launch { it.run() } }
    }

    override suspend fun claim(
        organisation: OrganisationId,
        idempotencyKey: String,
        bodyDigest: String,
        retentionHours: Int,
    ): Either<RequestError, ClaimResult> {
        val operation =
            IntentOperation.Claim(
                digest = IntentNames.digest(organisation, idempotencyKey),
                attempt = "$vm-$incarnation-${attempts.incrementAndGet()}",
                bodyDigest = bodyDigest,
                expiresAt = (clock.now() + retentionHours.hours).toEpochMilliseconds(),
            )
        val owner = ownerOf(operation)
        val remote = owner?.let { forwardClaim(it, operation) }
        val outcome = remote?.right() ?: claimHere(operation, submitted = owner != null)
        return outcome.fold({ it.left() }, { resultOf(it, operation) })
    }

    override suspend fun finish(
        grant: ClaimGrant,
        answer: RecordedResponse,
    ) {
        val kept = StoredResponse(answer.status, answer.contentType, answer.bodyBase64)
        val bytes = BucketCommitter.SETTLEMENT_BYTES + kept.storedBytes
        if (reserve(grant, bytes)) {
            val finish = PendingOperation.Finish(grant.digest, grant.attempt, kept, bytes)
            settle(finish)
            finish.durable.await()
        }
    }

    override suspend fun release(grant: ClaimGrant) {
        releaseNow(grant)?.durable?.await()
    }

    /** Waits up to [limit] until every answer and release is durable; returns whether all are. For shutdown. */
    suspend fun settle(limit: Duration): Boolean {
        withTimeoutOrNull(limit) {
            while (budget.usedBytes > 0) {
                delay(SETTLE_POLL)
            }
        }
        return budget.usedBytes == 0L
    }

    /**
     * Commits an operation that another VM forwarded to this one, the bucket's owner; null if it is not known to be
     * durable in time. The sender stays responsible for it.
     */
    suspend fun commitForwarded(operation: IntentOperation): IntentOutcome? = forwarded.commit(operation)

    /** Waits for the owner even if the caller goes away, because a grant that nobody knows of would block its key. */
    private suspend fun forwardClaim(
        owner: VmId,
        operation: IntentOperation.Claim,
    ): IntentOutcome? {
        val outcome = withContext(NonCancellable) { forward(owner, operation, settings.forwardLimit) }
        try {
            currentCoroutineContext().ensureActive()
        } catch (cancellation: CancellationException) {
            releaseNow(ClaimGrant(operation.digest, operation.attempt))
            throw cancellation
        }
        return outcome
    }

    private suspend fun forward(
        owner: VmId,
        operation: IntentOperation,
        limit: Duration,
    ): IntentOutcome? = withTimeoutOrNull(limit) { forwarding.commit(owner, operation) }

    /** Hands a settlement to the bucket's owner, or commits it here if there is none or it does not answer. */
    private fun settle(settlement: PendingOperation.Settlement) {
        val bucket = bucketOf(settlement.operation.digest)
        val owner = ownerOf(settlement.operation)
        if (owner == null || (settlement is PendingOperation.Finish && !settlement.ready)) {
            bucket.submit(settlement)
            return
        }
        scope.launch {
            val limit = settings.settleWait + settings.forwardLimit
            if (forward(owner, settlement.operation, limit) == IntentOutcome.Settled) {
                budget.giveBack(settlement.bytes)
                settlement.durable.complete(IntentOutcome.Settled)
            } else {
                bucket.submit(settlement)
            }
        }
    }

    private fun ownerOf(operation: IntentOperation) = forwarding.ownerOf(IntentNames.bucket(operation.digest))

    private suspend fun claimHere(
        operation: IntentOperation.Claim,
        submitted: Boolean,
    ): Either<RequestError, IntentOutcome> {
        val pending = PendingOperation.Claim(operation, submitted)
        bucketOf(operation.digest).submit(pending)
        return await(pending)
    }

    private suspend fun await(pending: PendingOperation.Claim): Either<RequestError, IntentOutcome> {
        try {
            withTimeoutOrNull(settings.claimLimit) { pending.result.await() }
        } catch (cancellation: CancellationException) {
            abandon(pending)
            throw cancellation
        }
        if (pending.result.complete(storeRefusal())) {
            logger.logWarning(IntentEvents.CLAIM_REFUSED) { pending.operation.attempt }
        }
        return pending.result.await()
    }

    /** Gives back a claim whose caller went away while it waited. */
    private fun abandon(pending: PendingOperation.Claim) {
        val unanswered = pending.result.complete(storeRefusal())
        if (!unanswered && pending.result.getCompleted() == IntentOutcome.Granted.right()) {
            releaseNow(ClaimGrant(pending.operation.digest, pending.operation.attempt))
        }
    }

    private fun releaseNow(grant: ClaimGrant): PendingOperation.Release? {
        if (!reserve(grant, BucketCommitter.SETTLEMENT_BYTES)) {
            return null
        }
        val operation = IntentOperation.Release(grant.digest, grant.attempt)
        val release = PendingOperation.Release(operation, BucketCommitter.SETTLEMENT_BYTES)
        settle(release)
        return release
    }

    private fun reserve(
        grant: ClaimGrant,
        bytes: Long,
    ): Boolean {
        val reserved = budget.reserve(bytes)
        if (!reserved) {
            logger.logWarning(IntentEvents.SETTLEMENT_DROPPED) { grant.attempt }
        }
        return reserved
    }

    private suspend fun resultOf(
        outcome: IntentOutcome,
        claim: IntentOperation.Claim,
    ): Either<RequestError, ClaimResult> =
        when (outcome) {
            IntentOutcome.Granted -> ClaimResult.Granted(ClaimGrant(claim.digest, claim.attempt)).right()
            IntentOutcome.DifferentBody -> ClaimResult.DifferentBody.right()
            is IntentOutcome.Duplicate -> duplicate(outcome.record)
            IntentOutcome.Settled, IntentOutcome.NotFound -> error("a claim cannot come to $outcome")
        }

    private suspend fun duplicate(record: IntentRecord): Either<RequestError, ClaimResult> {
        if (record.state == IntentState.STARTED) {
            return ClaimResult.Started.right()
        }
        val answer =
            when {
                record.answerStored -> answers.read(record)
                else -> record.answer.right()
            }
        return answer.fold({ answerRefusal() }, { recorded(it).right() })
    }

    private fun recorded(answer: StoredResponse?): ClaimResult {
        if (answer == null) {
            return ClaimResult.Started
        }
        return ClaimResult.Finished(RecordedResponse(answer.status, answer.contentType, answer.bodyBase64))
    }

    private fun bucketOf(digest: String) = buckets[IntentNames.bucket(digest)]

    private companion object {
        val SETTLE_POLL = 20.milliseconds
    }
}
