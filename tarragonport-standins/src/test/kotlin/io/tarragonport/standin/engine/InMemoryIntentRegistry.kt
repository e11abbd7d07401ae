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
        @Volatile var response: RecordedResponse? = null,
    )

    private val intents = ConcurrentHashMap<String, Intent>()

    /** Error returned by every claim; null if claims succeed. */
    @Volatile var claimError: RequestError? = null
    val size: Int get() = intents.size

    override suspend fun claim(
        organisation: OrganisationId,
        idempotencyKey: String,
        bodyDigest: String,
        retentionHours: Int,
    ): Either<RequestError, ClaimResult> {
        claimError?.let { return it.left() }
        val claimKey = "$organisation/$idempotencyKey"
        val existing = intents.putIfAbsent(claimKey, Intent(bodyDigest))
        val response = existing?.response
        return when {
            existing == null -> ClaimResult.Granted(ClaimGrant(claimKey, "1"))
            existing.bodyDigest != bodyDigest -> ClaimResult.DifferentBody
            response != null -> ClaimResult.Finished(response)
            else -> ClaimResult.Started
        }.right()
    }

    override suspend fun finish(
        grant: ClaimGrant,
        response: RecordedResponse,
    ) {
        intents.getValue(grant.digest).response = response
    }

    override suspend fun release(grant: ClaimGrant) {
        intents.remove(grant.digest)
    }
}
