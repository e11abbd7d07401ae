package io.tarragonport.daemon.store

import arrow.core.Either
import arrow.core.left
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Calls [store] with a timeout: a call without a response within [timeout] fails as unavailable. */
internal class TimeoutStore(
    private val store: ObjectStore,
    private val timeout: Duration,
) {
    suspend fun get(name: String): Either<PlatformError, StoredObject?> = callWithTimeout { store.get(name) }

    suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> = callWithTimeout { store.put(name, value, condition) }

    suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> = callWithTimeout { store.delete(name, version) }

    suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> = callWithTimeout { store.list(prefix, withValues) }

    private suspend fun <T> callWithTimeout(call: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> =
        withTimeoutOrNull(timeout) { call() } ?: PlatformError.Unavailable("no response within $timeout").left()
}
