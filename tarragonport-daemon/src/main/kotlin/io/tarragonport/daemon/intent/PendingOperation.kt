package io.tarragonport.daemon.intent

import arrow.core.Either
import io.tarragonport.api.error.RequestError
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.core.intent.StoredResponse
import kotlinx.coroutines.CompletableDeferred

/** An operation that waits for the next commit of its bucket. */
internal sealed interface PendingOperation {
    val operation: IntentOperation

    /**
     * A claim whose caller waits for [result].
     *
     * The caller completes [result] with an error after its timeout. [submitted] is true once a write with this claim
     * may have reached the object store. A claim that another VM [forwarded] is never withdrawn here, because the
     * sender may already have received the grant.
     */
    class Claim(
        override val operation: IntentOperation.Claim,
        var submitted: Boolean = false,
        val forwarded: Boolean = false,
    ) : PendingOperation {
        val result = CompletableDeferred<Either<RequestError, IntentOutcome>>()
    }

    /** A response or release. Reserves [bytes] of the budget until [durable] completes, even if recording fails. */
    sealed interface Settlement : PendingOperation {
        val bytes: Long
        val durable: CompletableDeferred<IntentOutcome>
    }

    /** A release, or the withdrawal of a refused claim whose write may still take effect. */
    class Release(
        override val operation: IntentOperation.Release,
        override val bytes: Long,
    ) : Settlement {
        override val durable = CompletableDeferred<IntentOutcome>()
    }

    /**
     * A response, which is kept in the bucket head if it is small and otherwise in an object of its own. [stored] is
     * true once that object exists. A null [response] means that the VM that forwarded the operation has stored it.
     */
    class Finish(
        val digest: String,
        val attempt: String,
        val response: StoredResponse?,
        override val bytes: Long,
    ) : Settlement {
        override val durable = CompletableDeferred<IntentOutcome>()
        private val inline = response != null && response.storedBytes <= StoredResponse.INLINE_LIMIT_BYTES
        var stored = response == null

        override val operation: IntentOperation.Finish
            get() = IntentOperation.Finish(digest, attempt, response.takeIf { inline })

        /** True if the head may be updated: the response is inline or its object exists. */
        val ready: Boolean get() = inline || stored
    }
}
