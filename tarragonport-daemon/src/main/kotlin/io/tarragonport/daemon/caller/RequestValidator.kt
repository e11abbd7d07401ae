package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.platform.backend.PrefixBlocks
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** Validates every request before it is queued; each failure is a [RequestError] with `ran: no`. */
class RequestValidator(
    private val context: CallerContext,
) {
    /** The current configuration, or an error if this VM has none or is isolated. */
    fun configuration(): Either<RequestError, Configuration> =
        either {
            val configuration = context.configuration.current.value
            ensureNotNull(configuration) { RequestErrors.notConfigured }
            ensure(!context.configuration.isolated.value) { RequestErrors.isolated }
            configuration
        }

    /** The identity of the caller by the key in [headers]; refuses keys that also appear in other headers. */
    fun identity(
        configuration: Configuration,
        headers: Headers,
    ): Either<RequestError, CallerIdentity> =
        either {
            val identity =
                Authenticator.identify(configuration, headers.getAll(HttpHeaders.Authorization).orEmpty()).bind()
            val key = identity.key
            if (key != null) ensureNotInHeaders(key, headers)
            identity
        }

    private fun Raise<RequestError>.ensureNotInHeaders(
        key: CallerKey,
        headers: Headers,
    ) {
        for (name in listOf(CallerHeaders.IDEMPOTENCY_KEY, CallerHeaders.REQUEST_ID, CallerHeaders.REQUEST_CLASS)) {
            ensure(headers.getAll(name).orEmpty().none(key::isIn)) { RequestErrors.keyInside(name) }
        }
    }

    /** Checks route, class, deadline and idempotency key of a request for [name] and charges it to its limits. */
    fun prepare(
        configuration: Configuration,
        kind: PoolKind,
        name: String,
        identity: CallerIdentity,
        headers: Headers,
        ids: Ids,
        draft: RequestDraft,
    ): Either<RequestError, PreparedRequest> =
        either {
            val classHeader = single(headers, CallerHeaders.REQUEST_CLASS)
            val admission = RouteCheck(configuration, kind).admit(name, identity.record, classHeader).bind()
            val deadline = ids.arrival + deadlineMs(headers, admission.requestClass).milliseconds
            val idempotencyKey = idempotencyKey(headers, admission.requestClass)
            val markedAsRetry = markedAsRetry(headers)
            val tokens = draft.promptTokens.toLong() + (draft.maximumOutputTokens ?: 0)
            acquire(admission, tokens)
            PreparedRequest(
                admission = admission,
                pending = pending(admission, ids, deadline, draft),
                visibleId = ids.visibleId,
                bodyDigest = draft.bodyDigest,
                idempotencyKey = idempotencyKey,
                markedAsRetry = markedAsRetry,
                acquiredTokens = tokens,
            )
        }

    private fun pending(
        admission: Admission,
        ids: Ids,
        deadline: ComparableTimeMark,
        draft: RequestDraft,
    ): PendingRequest =
        PendingRequest(
            id = ids.id,
            organisation = admission.organisation.id,
            organisationWeight = admission.organisation.weight,
            requestClass = admission.requestClass,
            pool = admission.pool.id,
            arrival = ids.arrival,
            deadline = deadline,
            promptTokens = draft.promptTokens,
            maximumOutputTokens = draft.maximumOutputTokens,
            prefixBlocks = PrefixBlocks.of(draft.model, draft.messages),
            fingerprint =
                Digests.of(
                    admission.requestClass.id.value,
                    admission.organisation.id.value,
                    draft.bodyDigest,
                ),
        )

    private fun Raise<RequestError>.acquire(
        admission: Admission,
        tokens: Long,
    ) {
        val decision = context.limits.tryAcquire(admission.organisation.id, admission.key, tokens)
        if (decision is RateLimitDecision.Exceeded) {
            val error = RequestErrors.notExecuted(ErrorKind.LIMIT_EXCEEDED, decision.message)
            raise(error.copy(retryAfterSeconds = decision.retryAfterSeconds))
        }
    }

    private fun Raise<RequestError>.single(
        headers: Headers,
        name: String,
    ): String? {
        val values = headers.getAll(name).orEmpty()
        ensure(values.size <= 1) { RequestErrors.invalid("the header is given more than once", name) }
        return values.firstOrNull()?.trim()
    }

    private fun Raise<RequestError>.deadlineMs(
        headers: Headers,
        requestClass: RequestClass,
    ): Long {
        val header = single(headers, CallerHeaders.DEADLINE_MS) ?: return requestClass.deadlineMs
        val requested = header.toLongOrNull()
        ensure(requested != null && requested > 0) {
            RequestErrors.invalid("expected a positive number of milliseconds", CallerHeaders.DEADLINE_MS)
        }
        return minOf(requested, requestClass.deadlineMs)
    }

    private fun Raise<RequestError>.idempotencyKey(
        headers: Headers,
        requestClass: RequestClass,
    ): String? {
        val key = single(headers, CallerHeaders.IDEMPOTENCY_KEY)
        if (requestClass.repeatable) return null
        ensure(!key.isNullOrEmpty()) { RequestErrors.idempotencyKeyMissing }
        ensure(key.length <= MAXIMUM_KEY_CHARACTERS) {
            RequestErrors.invalid("longer than $MAXIMUM_KEY_CHARACTERS characters", CallerHeaders.IDEMPOTENCY_KEY)
        }
        return key
    }

    private fun Raise<RequestError>.markedAsRetry(headers: Headers): Boolean {
        val header = single(headers, CallerHeaders.ATTEMPT) ?: return false
        val attempt = header.toIntOrNull()
        ensure(
            attempt != null && attempt > 0,
        ) { RequestErrors.invalid("expected a positive number", CallerHeaders.ATTEMPT) }
        return attempt > 1
    }

    /**
     * Ids and arrival time of one request: [id] is unique in the fleet, [visibleId] is returned to the caller and is
     * the `X-Request-Id` of the request if that is valid, else the same as [id].
     */
    class Ids(
        val id: RequestId,
        val visibleId: String,
        val arrival: ComparableTimeMark,
    )

    companion object {
        private const val MAXIMUM_KEY_CHARACTERS = 255
    }
}
