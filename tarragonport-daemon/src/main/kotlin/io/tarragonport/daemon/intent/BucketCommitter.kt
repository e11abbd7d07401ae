package io.tarragonport.daemon.intent

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.intent.BucketHead
import io.tarragonport.core.intent.HeadUpdate
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.core.intent.ResponseObject
import io.tarragonport.core.intent.SealedRecords
import io.tarragonport.daemon.event.logError
import io.tarragonport.daemon.event.logInfo
import io.tarragonport.daemon.event.logWarning
import io.tarragonport.daemon.store.RetryDelay
import io.tarragonport.daemon.store.TimeoutStore
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlin.time.Clock
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Group commit for one bucket: operations that arrive together share one conditional update of the bucket head.
 *
 * After a conflict or a failed call, the head is read again and the pending operations are reapplied; an attempt that
 * the head already contains is recognised by its id. A write without a response may still take effect as long as the
 * head has the version that the write was conditional on. The withdrawal of a claim in such a write is therefore
 * complete only once the head has another version, even if that requires writing the head unchanged. All state is
 * confined to the coroutine of [run].
 */
internal class BucketCommitter(
    private val bucket: Int,
    private val store: TimeoutStore,
    private val settings: IntentSettings,
    private val clock: Clock,
    private val timeSource: TimeSource.WithComparableMarks,
    private val budget: PendingBudget,
    private val retryDelay: RetryDelay,
) {
    private val inbox = Channel<PendingOperation>(Channel.UNLIMITED)
    private val index = SealedIndex(bucket, store)
    private val responses = ResponseStore(store)
    private val settlementDelay = SettlementDelay(timeSource, settings.batchWait, settings.settleWait)
    private val name = IntentNames.head(bucket)
    private val pending = ArrayList<PendingOperation>()
    private var cachedHead: CachedHead? = null

    // Condition of a write that got no successful response and may still take effect.
    private var unresolvedCondition: PutCondition? = null

    /** Adds [operation] to the next commit. */
    fun submit(operation: PendingOperation) {
        inbox.trySend(operation).getOrThrow()
    }

    /** Commits until cancelled. */
    suspend fun run() {
        while (true) {
            collectBatch()
            val done = commitSafely()
            if (done) {
                retryDelay.reset()
            } else {
                delay(retryDelay.next())
            }
        }
    }

    private suspend fun collectBatch() {
        if (pending.isEmpty()) {
            add(inbox.receive())
        }
        drainInbox()
        if (!hasClaim()) {
            awaitClaim()
        }
        if (hasClaim()) {
            delay(settings.batchWait)
        }
        drainInbox()
    }

    /** Waits for a claim that can share a write with the pending settlements. */
    private suspend fun awaitClaim() {
        var waiting = true
        val end = timeSource.markNow() + settlementDelay.current()
        while (waiting && !hasClaim()) {
            select {
                inbox.onReceive { add(it) }
                onTimeout(-end.elapsedNow()) { waiting = false }
            }
        }
    }

    private fun drainInbox() {
        while (true) {
            val next = inbox.tryReceive().getOrNull() ?: return
            add(next)
        }
    }

    private fun add(operation: PendingOperation) {
        pending += operation
        if (operation is PendingOperation.Claim) {
            settlementDelay.recordClaim()
        }
    }

    private fun hasClaim() = pending.any { it is PendingOperation.Claim }

    private suspend fun commitSafely(): Boolean =
        try {
            commit()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: RuntimeException) {
            cachedHead = null
            logger.logError(IntentEvents.COMMIT_FAILED) { "bucket $bucket: $failure" }
            false
        }

    /** Returns true if no operation is left to retry. */
    private suspend fun commit(): Boolean {
        pending.filterIsInstance<PendingOperation.Finish>().filterNot { it.ready }.forEach { storeResponse(it) }
        while (true) {
            withdrawRefused()
            if (pending.none { it.isReady() }) {
                return pending.isEmpty()
            }
            when (tryCommit()) {
                CommitResult.DONE -> return pending.isEmpty()
                CommitResult.FAILED -> return false
                CommitResult.STALE -> Unit
            }
        }
    }

    private suspend fun tryCommit(): CommitResult {
        val cached = cachedHead != null
        val base = cachedHead ?: readHead().getOrNull() ?: return CommitResult.FAILED
        val batch = pending.filter { it.isReady() }
        val sealed = index.find(base.head.segments, claimedDigests(batch)).onLeft(::logFailure).getOrNull()
        sealed ?: return CommitResult.FAILED
        val update = base.head.apply(batch.map { it.operation }, sealed, nowMillis())
        val writeUnchanged = unresolvedCondition == base.condition && batch.any { it is PendingOperation.Release }
        if (update.changed || writeUnchanged) {
            return write(base, batch, update)
        }
        if (cached) {
            cachedHead = null
            return CommitResult.STALE
        }
        cachedHead = base
        complete(batch, update.outcomes)
        return CommitResult.DONE
    }

    private suspend fun write(
        base: CachedHead,
        batch: List<PendingOperation>,
        update: HeadUpdate,
    ): CommitResult {
        batch.filterIsInstance<PendingOperation.Claim>().forEach { it.submitted = true }
        val written = putHead(base, update.head)
        written.onLeft { return handleWriteFailure(it, batch) }
        complete(batch, update.outcomes)
        removeExpired(update)
        sealIfLarge()
        return CommitResult.DONE
    }

    private suspend fun putHead(
        base: CachedHead,
        head: BucketHead,
    ): Either<PlatformError, Unit> {
        cachedHead = null
        unresolvedCondition = base.condition
        return either {
            val value = encode(head)
            val version = store.put(name, value, base.condition).bind()
            cachedHead = CachedHead(PutCondition.Version(version), head, value.length)
            unresolvedCondition = null
        }
    }

    private fun handleWriteFailure(
        error: PlatformError,
        batch: List<PendingOperation>,
    ): CommitResult {
        if (error is PlatformError.Conflict) {
            return CommitResult.STALE
        }
        logFailure(error)
        if (error is PlatformError.Rejected) {
            batch.filterIsInstance<PendingOperation.Claim>().forEach { it.result.complete(claimNotDurableError()) }
        }
        return CommitResult.FAILED
    }

    private suspend fun readHead(): Either<PlatformError, CachedHead> =
        store
            .get(name)
            .map { stored ->
                when (stored) {
                    null -> CachedHead(PutCondition.Absent, BucketHead(), 0)
                    else -> CachedHead(PutCondition.Version(stored.version), decode(stored.value), stored.value.length)
                }
            }.onRight { if (it.condition != unresolvedCondition) unresolvedCondition = null }
            .onLeft(::logFailure)

    private fun complete(
        batch: List<PendingOperation>,
        outcomes: List<IntentOutcome>,
    ) {
        val done = batch.toSet()
        pending.removeAll(done)
        for ((operation, outcome) in batch.zip(outcomes)) {
            when (operation) {
                is PendingOperation.Claim -> completeClaim(operation, outcome)
                is PendingOperation.Settlement -> completeSettlement(operation, outcome)
            }
        }
    }

    private fun completeClaim(
        claim: PendingOperation.Claim,
        outcome: IntentOutcome,
    ) {
        val accepted = claim.result.complete(outcome.right())
        if (!accepted && !claim.forwarded && outcome == IntentOutcome.Granted) {
            withdraw(claim)
        }
    }

    private fun completeSettlement(
        settlement: PendingOperation.Settlement,
        outcome: IntentOutcome,
    ) {
        budget.release(settlement.bytes)
        settlement.durable.complete(outcome)
        if (settlement is PendingOperation.Finish && outcome != IntentOutcome.Settled) {
            logger.logWarning(IntentEvents.ANSWER_NOT_RECORDED) { "${settlement.attempt}: no started record exists" }
        }
    }

    /** Removes refused claims from [pending] and withdraws those that may have become durable. */
    private fun withdrawRefused() {
        val refused = pending.filterIsInstance<PendingOperation.Claim>().filter { it.result.isCompleted }.toSet()
        if (refused.isEmpty()) {
            return
        }
        pending.removeAll(refused)
        refused.filter { it.submitted && !it.forwarded }.forEach(::withdraw)
    }

    private fun withdraw(claim: PendingOperation.Claim) {
        val release = IntentOperation.Release(claim.operation.digest, claim.operation.attempt)
        if (!budget.reserve(SETTLEMENT_BYTES)) {
            logger.logWarning(IntentEvents.SETTLEMENT_DROPPED) { "${release.attempt}: withdrawal of a refused claim" }
            return
        }
        pending += PendingOperation.Release(release, SETTLEMENT_BYTES)
    }

    private suspend fun storeResponse(finish: PendingOperation.Finish) {
        val content = ResponseObject(finish.attempt, checkNotNull(finish.response))
        when (val result = responses.write(finish.digest, content)) {
            is Either.Right -> finish.stored = true
            is Either.Left -> handleResponseFailure(finish, result.value)
        }
    }

    private fun handleResponseFailure(
        finish: PendingOperation.Finish,
        error: PlatformError,
    ) {
        logFailure(error)
        if (error is PlatformError.Rejected || error is PlatformError.Refused) {
            pending.remove(finish)
            budget.release(finish.bytes)
            finish.durable.complete(IntentOutcome.NotFound)
            logger.logWarning(IntentEvents.ANSWER_NOT_RECORDED) { "${finish.attempt}: $error" }
        }
    }

    private suspend fun removeExpired(update: HeadUpdate) {
        update.expired.filter { it.answerStored }.forEach { responses.remove(it) }
        for (segment in update.expiredSegments) {
            val stored = store.get(IntentNames.segment(bucket, segment.number)).getOrNull() ?: continue
            store.delete(stored.name, stored.version)
        }
    }

    /** Moves immutable records to a new segment; if the head update fails, the segment is never listed or reused. */
    private suspend fun sealIfLarge() {
        val base = cachedHead ?: return
        val recordBytes = base.bytes - base.head.segments.size * SEGMENT_ENTRY_BYTES
        if (recordBytes <= settings.sealBytes) {
            return
        }
        for (number in base.head.nextSegment until base.head.nextSegment + SEGMENT_NUMBER_ATTEMPTS) {
            val plan = base.head.seal(number, nowMillis()) ?: return
            val created = store.put(IntentNames.segment(bucket, number), encode(plan.content), PutCondition.Absent)
            if (created.isRight()) {
                putHead(base, plan.head)
                logger.logInfo(IntentEvents.BUCKET_SEALED) { "bucket $bucket segment $number" }
                return
            }
            if (created.leftOrNull() !is PlatformError.Conflict) {
                return
            }
        }
    }

    private fun claimedDigests(batch: List<PendingOperation>) =
        batch.filterIsInstance<PendingOperation.Claim>().map { it.operation.digest }

    private fun PendingOperation.isReady() = this !is PendingOperation.Finish || ready

    private fun logFailure(error: PlatformError) {
        logger.logWarning(IntentEvents.STORE_FAILED) { "bucket $bucket: $error" }
    }

    private fun nowMillis() = clock.now().toEpochMilliseconds()

    private fun encode(head: BucketHead) = WireJson.encodeToString(BucketHead.serializer(), head)

    private fun encode(records: SealedRecords) = WireJson.encodeToString(SealedRecords.serializer(), records)

    private fun decode(value: String) = WireJson.decodeFromString(BucketHead.serializer(), value)

    private enum class CommitResult { DONE, STALE, FAILED }

    companion object {
        /** Estimated memory of a settlement without its response, in bytes. */
        const val SETTLEMENT_BYTES = 512L

        /**
         * Encoded size of a segment entry, in bytes. Entries do not count towards the sealing threshold: otherwise the
         * segment list of a busy day would trigger a sealing in every commit.
         */
        const val SEGMENT_ENTRY_BYTES = 44

        /** Segment numbers tried in one sealing; an existing segment is left from a sealing that did not complete. */
        const val SEGMENT_NUMBER_ATTEMPTS = 8
    }
}
