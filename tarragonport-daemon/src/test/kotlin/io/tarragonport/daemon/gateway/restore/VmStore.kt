package io.tarragonport.daemon.gateway.restore

import arrow.core.Either
import arrow.core.left
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoreEraCheck
import io.tarragonport.api.platform.StoredObject
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlin.time.Duration

/**
 * The object store as seen by one VM, which can be [paused] before a call and before its response. Each response carries
 * the [era] in which it was sent, null for a store without eras.
 */
class VmStore(
    private val store: ObjectStore,
    private val eras: StoreEraCheck,
    private val era: () -> StoreEra?,
) : ObjectStore {
    val paused = MutableStateFlow(false)

    override suspend fun get(name: String): Either<PlatformError, StoredObject?> = call { store.get(name) }

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> = call { store.put(name, value, condition) }

    override suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> = call { store.delete(name, version) }

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> = call { store.list(prefix, withValues) }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> = call { store.watch(prefix, after, wait) }

    private suspend fun <T> call(send: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> {
        paused.first { !it }
        val response = send()
        val sentIn = era()
        paused.first { !it }
        val answered = response.leftOrNull() !is PlatformError.Unavailable
        return if (!answered || eras.accept(sentIn)) response else PlatformError.Unavailable("earlier era").left()
    }
}
