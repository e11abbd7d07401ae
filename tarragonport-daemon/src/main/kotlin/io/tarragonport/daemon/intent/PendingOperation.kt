package io.tarragonport.daemon.intent

import arrow.core.Either
import io.tarragonport.api.error.RequestError
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.core.intent.StoredResponse
import kotlinx.coroutines.CompletableDeferred

/** An operation that waits for its bucket's next commit. */
internal sealed interface PendingOperation {
    val operation: IntentOperation

    /**
     * A claim whose caller waits for [result].
     *
     * The caller completes [result] with a refusal when its time is up. [submitted] is true once a write with this
     * claim may have reached the object API. A claim that was [forwarded] by another VM is never withdrawn here: its
     * sender may hold the grant by now.
     */
    class Claim(
        override val operation: IntentOperation.Claim,
        var submitted: Boolean = false,
        val forwarded: Boolean = false,
    ) : PendingOperation {
        val result = CompletableDeferred<Either<RequestError, IntentOutcome>>()
    }

    /** An answer or release; holds [bytes] of budget until [durable] completes: it is durable or given up. */
    sealed interface Settlement : PendingOperation {
        val bytes: Long
        val durable: CompletableDeferred<IntentOutcome>
    }

    /** A release, or the withdrawal of a refused claim whose write may take effect later; holds [bytes] of budget. */
    class Release(
        override val operation: IntentOperation.Release,
        override val bytes: Long,
    ) : Settlement {
        override val durable = CompletableDeferred<IntentOutcome>()
    }

    /**
     * An answer; it goes into the head or, if [stored] turns true, has its own object. A null [answer] was stored by
     * the VM that forwarded the operation.
     */
    class Finish(
        val digest: String,
        val attempt: String,
        val answer: StoredResponse?,
        override val bytes: Long,
    ) : Settlement {
        override val durable = CompletableDeferred<IntentOutcome>()
        private val inline = answer != null && answer.storedBytes <= StoredResponse.INLINE_LIMIT_BYTES
        var stored = answer == null

        override val operation: IntentOperation.Finish
            get() = IntentOperation.Finish(digest, attempt, answer.takeIf { inline })

        /** True if the head may be changed: the answer is inline or its object exists. */
        val ready: Boolean get() = inline || stored
    }
}
