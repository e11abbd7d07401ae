package io.tarragonport.api.platform

import arrow.core.Either
import io.tarragonport.api.id.ObjectVersion
import kotlin.time.Duration

/**
 * The platform's object store, the only storage for durable or consistent state.
 *
 * Every call counts against the platform's call budget; a [watch] counts as one call. After
 * [PlatformError.Unavailable], a write may have taken effect, so the object has to be read again.
 */
interface ObjectStore {
    /** Reads an object; null if it does not exist. */
    suspend fun get(name: String): Either<PlatformError, StoredObject?>

    /** Writes [value] if [condition] holds and returns the new version. */
    suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion>

    /** Deletes an object if it still has [version]. */
    suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit>

    /** Lists the objects whose names start with [prefix]. */
    suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing>

    /**
     * Waits up to [wait] for changes under [prefix] after revision [after]; the listing is empty if there were none.
     */
    suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing>
}
