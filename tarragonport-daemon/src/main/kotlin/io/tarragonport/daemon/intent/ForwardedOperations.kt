package io.tarragonport.daemon.intent

import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import kotlinx.coroutines.withTimeoutOrNull

/** Commits operations that other VMs forwarded to this one. A sender that gets no outcome commits them itself. */
internal class ForwardedOperations(
    private val bucketOf: (digest: String) -> BucketCommitter,
    private val budget: PendingBudget,
    private val settings: IntentSettings,
) {
    /** Commits [operation]; null if it is not confirmed durable within the timeout. */
    suspend fun commit(operation: IntentOperation): IntentOutcome? =
        when (operation) {
            is IntentOperation.Claim -> claim(operation)
            is IntentOperation.Finish -> settle(finishOf(operation))
            is IntentOperation.Release -> settle(releaseOf(operation))
        }

    private suspend fun claim(operation: IntentOperation.Claim): IntentOutcome? {
        val pending = PendingOperation.Claim(operation, forwarded = true)
        bucketOf(operation.digest).submit(pending)
        withTimeoutOrNull(settings.forwardTimeout) { pending.result.await() }
        pending.result.complete(claimNotDurableError())
        return pending.result.await().getOrNull()
    }

    private suspend fun settle(settlement: PendingOperation.Settlement): IntentOutcome? {
        if (!budget.reserve(settlement.bytes)) {
            return null
        }
        bucketOf(settlement.operation.digest).submit(settlement)
        return withTimeoutOrNull(settings.settleWait + settings.forwardTimeout) { settlement.durable.await() }
    }

    private fun finishOf(operation: IntentOperation.Finish): PendingOperation.Finish {
        val bytes = BucketCommitter.SETTLEMENT_BYTES + (operation.answer?.storedBytes ?: 0)
        return PendingOperation.Finish(operation.digest, operation.attempt, operation.answer, bytes)
    }

    private fun releaseOf(operation: IntentOperation.Release) =
        PendingOperation.Release(operation, BucketCommitter.SETTLEMENT_BYTES)
}
