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
import io.tarragonport.daemon.store.LimitedStore
import io.tarragonport.daemon.store.RetryDelay
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlin.time.Clock
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Group commit of one bucket: operations that arrive together go into one conditional update of the bucket head.
 *
 * After a conflict or a failed call the head is read again and the operations still open are applied again, which finds
 * the own attempts that did become durable. A write without a response may take effect later, as long as the head
 * keeps the version that the write was conditional on. A withdrawal of such a claim is therefore complete only when the
 * head has another version; if need be it writes the head unchanged. All state is confined to the coroutine of [run].
 */
internal class BucketCommitter(
    private val bucket: Int,
    private val store: LimitedStore,
    private val settings: IntentSettings,
    private val clock: Clock,
    private val timeSource: TimeSource.WithComparableMarks,
    private val budget: PendingBudget,
    private val retryDelay: RetryDelay,
) {
    private val inbox = Channel<PendingOperation>(Channel.UNLIMITED)
    private val index = SealedIndex(bucket, store)
    private val answers = AnswerStore(store)
    private val pace = ClaimPace(timeSource, settings.batchWait, settings.settleWait)
    private val name = IntentNames.head(bucket)
    private val pending = ArrayList<PendingOperation>()
    private var known: KnownHead? = null
    private var unresolved: PutCondition? = null

    /** Adds [operation] to the next commit. */
    fun submit(operation: PendingOperation) {
        inbox.trySend(operation).getOrThrow()
    }

    /** Commits until cancelled. */
    suspend fun run() {
        while (true) {
            gather()
            val done = commitSafely()
            if (done) {
                retryDelay.reset()
            } else {
                delay(retryDelay.next())
            }
        }
    }

    private suspend fun gather() {
        if (pending.isEmpty()) {
            add(inbox.receive())
        }
        drain()
        if (!hasClaim()) {
            awaitClaim()
        }
        if (hasClaim()) {
            delay(settings.batchWait)
        }
        drain()
    }

    /** Waits for a claim that the settlements can share a write with. */
    private suspend fun awaitClaim() {
        var waiting = true
        val end = timeSource.markNow() + pace.settleWait()
        while (waiting && !hasClaim()) {
            select {
                inbox.onReceive { add(it) }
                onTimeout(-end.elapsedNow()) { waiting = false }
            }
        }
    }

    private fun drain() {
        while (true) {
            val next = inbox.tryReceive().getOrNull() ?: return
            add(next)
        }
    }

    private fun add(operation: PendingOperation) {
        pending += operation
        if (operation is PendingOperation.Claim) {
            pace.noteClaim()
        }
    }

    private fun hasClaim() = pending.any { it is PendingOperation.Claim }

    private suspend fun commitSafely(): Boolean =
        try {
            commit()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: RuntimeException) {
            known = null
            logger.logError(IntentEvents.COMMIT_FAILED) { "bucket $bucket: $failure" }
            false
        }

    /** Returns true if nothing is left to retry. */
    private suspend fun commit(): Boolean {
        pending.filterIsInstance<PendingOperation.Finish>().filterNot { it.ready }.forEach { storeAnswer(it) }
        while (true) {
            withdrawRefused()
            if (pending.none { it.isReady() }) {
                return pending.isEmpty()
            }
            when (attempt()) {
                Attempt.DONE -> return pending.isEmpty()
                Attempt.FAILED -> return false
                Attempt.STALE -> Unit
            }
        }
    }

    private suspend fun attempt(): Attempt {
        val cached = known != null
        val base = known ?: readHead().getOrNull() ?: return Attempt.FAILED
        val batch = pending.filter { it.isReady() }
        val sealed = index.find(base.head.segments, claimedDigests(batch)).onLeft(::logFailure).getOrNull()
        sealed ?: return Attempt.FAILED
        val update = base.head.apply(batch.map { it.operation }, sealed, nowMillis())
        val fence = unresolved == base.condition && batch.any { it is PendingOperation.Release }
        if (update.changed || fence) {
            return write(base, batch, update)
        }
        if (cached) {
            known = null
            return Attempt.STALE
        }
        known = base
        complete(batch, update.outcomes)
        return Attempt.DONE
    }

    private suspend fun write(
        base: KnownHead,
        batch: List<PendingOperation>,
        update: HeadUpdate,
    ): Attempt {
        batch.filterIsInstance<PendingOperation.Claim>().forEach { it.submitted = true }
        val written = putHead(base, update.head)
        written.onLeft { return afterFailedWrite(it, batch) }
        complete(batch, update.outcomes)
        removeExpired(update)
        sealIfLarge()
        return Attempt.DONE
    }

    private suspend fun putHead(
        base: KnownHead,
        head: BucketHead,
    ): Either<PlatformError, Unit> {
        known = null
        unresolved = base.condition
        return either {
            val value = encode(head)
            val version = store.put(name, value, base.condition).bind()
            known = KnownHead(PutCondition.Version(version), head, value.length)
            unresolved = null
        }
    }

    private fun afterFailedWrite(
        error: PlatformError,
        batch: List<PendingOperation>,
    ): Attempt {
        if (error is PlatformError.Conflict) {
            return Attempt.STALE
        }
        logFailure(error)
        if (error is PlatformError.Rejected) {
            batch.filterIsInstance<PendingOperation.Claim>().forEach { it.result.complete(storeRefusal()) }
        }
        return Attempt.FAILED
    }

    private suspend fun readHead(): Either<PlatformError, KnownHead> =
        store
            .get(name)
            .map { stored ->
                when (stored) {
                    null -> KnownHead(PutCondition.Absent, BucketHead(), 0)
                    else -> KnownHead(PutCondition.Version(stored.version), decode(stored.value), stored.value.length)
                }
            }.onRight { if (it.condition != unresolved) unresolved = null }
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
        budget.giveBack(settlement.bytes)
        settlement.durable.complete(outcome)
        if (settlement is PendingOperation.Finish && outcome != IntentOutcome.Settled) {
            logger.logWarning(IntentEvents.ANSWER_NOT_RECORDED) { "${settlement.attempt}: no started record" }
        }
    }

    /** Drops claims that their callers gave up; those that may become durable are withdrawn. */
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

    private suspend fun storeAnswer(finish: PendingOperation.Finish) {
        val content = ResponseObject(finish.attempt, checkNotNull(finish.answer))
        when (val result = answers.write(finish.digest, content)) {
            is Either.Right -> finish.stored = true
            is Either.Left -> afterFailedAnswer(finish, result.value)
        }
    }

    private fun afterFailedAnswer(
        finish: PendingOperation.Finish,
        error: PlatformError,
    ) {
        logFailure(error)
        if (error is PlatformError.Rejected || error is PlatformError.Refused) {
            pending.remove(finish)
            budget.giveBack(finish.bytes)
            finish.durable.complete(IntentOutcome.NotFound)
            logger.logWarning(IntentEvents.ANSWER_NOT_RECORDED) { "${finish.attempt}: $error" }
        }
    }

    private suspend fun removeExpired(update: HeadUpdate) {
        update.expired.filter { it.answerStored }.forEach { answers.remove(it) }
        for (segment in update.expiredSegments) {
            val stored = store.get(IntentNames.segment(bucket, segment.number)).getOrNull() ?: continue
            store.delete(stored.name, stored.version)
        }
    }

    /** Moves unchanging records to a new segment; a segment whose head update fails is never listed or reused. */
    private suspend fun sealIfLarge() {
        val base = known ?: return
        val recordBytes = base.bytes - base.head.segments.size * SEGMENT_ENTRY_BYTES
        if (recordBytes <= settings.sealBytes) {
            return
        }
        for (number in base.head.nextSegment until base.head.nextSegment + SEGMENT_NUMBER_TRIES) {
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

    private enum class Attempt { DONE, STALE, FAILED }

    companion object {
        /** Estimated memory of a settlement besides its answer, in bytes. */
        const val SETTLEMENT_BYTES = 512L

        /** Size of a listed segment. Counted as records, the list of a busy day would cause a sealing in every commit. */
        const val SEGMENT_ENTRY_BYTES = 44

        /** Segment numbers tried in one sealing; a taken number belongs to a sealing that did not complete. */
        const val SEGMENT_NUMBER_TRIES = 8
    }
}
