package io.tarragonport.daemon.lease

import arrow.core.Either
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/** The object store as seen by a process that can be [paused] before a call and before its response. */
class PausableStore(
    private val store: ObjectStore,
) : ObjectStore by store {
    val paused = MutableStateFlow(false)

    override suspend fun get(name: String): Either<PlatformError, StoredObject?> {
        awaitRunning()
        return store.get(name).also { awaitRunning() }
    }

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> {
        awaitRunning()
        return store.put(name, value, condition).also { awaitRunning() }
    }

    private suspend fun awaitRunning() {
        paused.first { !it }
    }
}
