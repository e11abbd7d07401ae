package io.tarragonport.standin.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlin.time.Duration

/**
 * The object store of the stand-in without HTTP, for tests that use virtual time.
 *
 * [link] adds latency and faults to all calls except watches.
 */
class InProcessObjectStore(
    private val objects: ObjectStandIn,
    private val link: InProcessLink,
) : ObjectStore {
    override suspend fun get(name: String): Either<PlatformError, StoredObject?> =
        link.call { objects.get(name).right() }

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> = link.call { result(objects.put(name, value, condition)) }

    override suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> = link.call { result(objects.delete(name, version)).map { } }

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> = link.call { objects.list(prefix, withValues).right() }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> = objects.watch(prefix, after, wait, Duration.ZERO).right()

    private fun result(outcome: ObjectOutcome): Either<PlatformError, ObjectVersion> =
        when (outcome) {
            is ObjectOutcome.Written -> outcome.version.right()
            is ObjectOutcome.ConditionFailed -> PlatformError.Conflict(outcome.current).left()
            ObjectOutcome.TooLarge -> PlatformError.Rejected(413, "too large").left()
        }
}
