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
import io.tarragonport.daemon.store.RetryDelay
import io.tarragonport.daemon.store.TimeoutStore
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
 * Intent registry that stores its records with the platform's object store, so that all VMs share them.
 *
 * [vm] and [incarnation] make attempt ids unique in the fleet. For each bucket, one coroutine in [scope] commits the
 * operations of this VM and those that other VMs forwarded to it as the bucket's owner. Safe to call from any thread.
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
    private val budget = PendingBudget(settings.pendingBytesLimit)
    private val timeoutStore = TimeoutStore(store, settings.callTimeout)
    private val responses = ResponseStore(timeoutStore)
    private val buckets =
        List(IntentNames.BUCKETS) { bucket ->
            val retryDelay = RetryDelay(settings.initialBackoff, settings.maximumBackoff, Random(random.nextLong()))
            BucketCommitter(bucket, timeoutStore, settings, clock, timeSource, budget, retryDelay)
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
        val forwardedOutcome = owner?.let { forwardClaim(it, operation) }
        val outcome = forwardedOutcome?.right() ?: claimLocally(operation, submitted = owner != null)
        return outcome.fold({ it.left() }, { resultOf(it, operation) })
    }

    override suspend fun finish(
        grant: ClaimGrant,
        response: RecordedResponse,
    ) {
        val stored = StoredResponse(response.status, response.contentType, response.bodyBase64)
        val bytes = BucketCommitter.SETTLEMENT_BYTES + stored.storedBytes
        if (reserve(grant, bytes)) {
            val finish = PendingOperation.Finish(grant.digest, grant.attempt, stored, bytes)
            submitSettlement(finish)
            finish.durable.await()
        }
    }

    override suspend fun release(grant: ClaimGrant) {
        releaseNow(grant)?.durable?.await()
    }

    /** For shutdown: waits up to [timeout] until all responses and releases are durable; returns whether they are. */
    suspend fun settle(timeout: Duration): Boolean {
        withTimeoutOrNull(timeout) {
            while (budget.usedBytes > 0) {
                delay(SETTLE_POLL_INTERVAL)
            }
        }
        return budget.usedBytes == 0L
    }

    /**
     * Commits an operation that another VM forwarded to this one as the bucket's owner; null if it is not confirmed
     * durable within the timeout, after which the sender commits it itself.
     */
    suspend fun commitForwarded(operation: IntentOperation): IntentOutcome? = forwarded.commit(operation)

    /** Waits for the owner even if the caller is cancelled, because a grant that is not received blocks its key. */
    private suspend fun forwardClaim(
        owner: VmId,
        operation: IntentOperation.Claim,
    ): IntentOutcome? {
        val outcome = withContext(NonCancellable) { forward(owner, operation, settings.forwardTimeout) }
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
        timeout: Duration,
    ): IntentOutcome? = withTimeoutOrNull(timeout) { forwarding.commit(owner, operation) }

    /** Forwards a settlement to the bucket's owner; without an owner or its confirmation, commits it locally. */
    private fun submitSettlement(settlement: PendingOperation.Settlement) {
        val bucket = bucketOf(settlement.operation.digest)
        val owner = ownerOf(settlement.operation)
        if (owner == null || (settlement is PendingOperation.Finish && !settlement.ready)) {
            bucket.submit(settlement)
            return
        }
        scope.launch {
            val timeout = settings.settleWait + settings.forwardTimeout
            if (forward(owner, settlement.operation, timeout) == IntentOutcome.Settled) {
                budget.release(settlement.bytes)
                settlement.durable.complete(IntentOutcome.Settled)
            } else {
                bucket.submit(settlement)
            }
        }
    }

    private fun ownerOf(operation: IntentOperation) = forwarding.ownerOf(IntentNames.bucket(operation.digest))

    /** Commits a claim on this VM; [submitted] is true if the bucket's owner may already have written it. */
    private suspend fun claimLocally(
        operation: IntentOperation.Claim,
        submitted: Boolean,
    ): Either<RequestError, IntentOutcome> {
        val pending = PendingOperation.Claim(operation, submitted)
        bucketOf(operation.digest).submit(pending)
        return await(pending)
    }

    private suspend fun await(pending: PendingOperation.Claim): Either<RequestError, IntentOutcome> {
        try {
            withTimeoutOrNull(settings.claimTimeout) { pending.result.await() }
        } catch (cancellation: CancellationException) {
            abandon(pending)
            throw cancellation
        }
        if (pending.result.complete(claimNotDurableError())) {
            logger.logWarning(IntentEvents.CLAIM_REFUSED) { pending.operation.attempt }
        }
        return pending.result.await()
    }

    /** Releases a claim whose caller was cancelled while it waited. */
    private fun abandon(pending: PendingOperation.Claim) {
        val stillPending = pending.result.complete(claimNotDurableError())
        if (!stillPending && pending.result.getCompleted() == IntentOutcome.Granted.right()) {
            releaseNow(ClaimGrant(pending.operation.digest, pending.operation.attempt))
        }
    }

    private fun releaseNow(grant: ClaimGrant): PendingOperation.Release? {
        if (!reserve(grant, BucketCommitter.SETTLEMENT_BYTES)) {
            return null
        }
        val operation = IntentOperation.Release(grant.digest, grant.attempt)
        val release = PendingOperation.Release(operation, BucketCommitter.SETTLEMENT_BYTES)
        submitSettlement(release)
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
            IntentOutcome.Settled, IntentOutcome.NotFound -> error("unexpected outcome of a claim: $outcome")
        }

    private suspend fun duplicate(record: IntentRecord): Either<RequestError, ClaimResult> {
        if (record.state == IntentState.STARTED) {
            return ClaimResult.Started.right()
        }
        val response =
            when {
                record.answerStored -> responses.read(record)
                else -> record.answer.right()
            }
        return response.fold({ responseUnreadableError() }, { recorded(it).right() })
    }

    private fun recorded(response: StoredResponse?): ClaimResult {
        if (response == null) {
            return ClaimResult.Started
        }
        return ClaimResult.Finished(RecordedResponse(response.status, response.contentType, response.bodyBase64))
    }

    private fun bucketOf(digest: String) = buckets[IntentNames.bucket(digest)]

    private companion object {
        val SETTLE_POLL_INTERVAL = 20.milliseconds
    }
}
