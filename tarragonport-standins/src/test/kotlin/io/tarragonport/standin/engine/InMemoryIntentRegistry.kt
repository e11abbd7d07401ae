package io.tarragonport.standin.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.daemon.intent.ClaimGrant
import io.tarragonport.daemon.intent.ClaimResult
import io.tarragonport.daemon.intent.IntentRegistry
import io.tarragonport.daemon.intent.RecordedResponse
import java.util.concurrent.ConcurrentHashMap

/** In-memory intent registry for tests with a single VM. */
class InMemoryIntentRegistry : IntentRegistry {
    private class Intent(
        val bodyDigest: String,
        @Volatile var answer: RecordedResponse? = null,
    )

    private val intents = ConcurrentHashMap<String, Intent>()

    @Volatile var unavailable: RequestError? = null
    val size: Int get() = intents.size

    override suspend fun claim(
        organisation: OrganisationId,
        idempotencyKey: String,
        bodyDigest: String,
        retentionHours: Int,
    ): Either<RequestError, ClaimResult> {
        unavailable?.let { return it.left() }
        val digest = "$organisation/$idempotencyKey"
        val existing = intents.putIfAbsent(digest, Intent(bodyDigest))
        val answer = existing?.answer
        return when {
            existing == null -> ClaimResult.Granted(ClaimGrant(digest, "1"))
            existing.bodyDigest != bodyDigest -> ClaimResult.DifferentBody
            answer != null -> ClaimResult.Finished(answer)
            else -> ClaimResult.Started
        }.right()
    }

    override suspend fun finish(
        grant: ClaimGrant,
        response: RecordedResponse,
    ) {
        intents.getValue(grant.digest).answer = response
    }

    override suspend fun release(grant: ClaimGrant) {
        intents.remove(grant.digest)
    }
}
