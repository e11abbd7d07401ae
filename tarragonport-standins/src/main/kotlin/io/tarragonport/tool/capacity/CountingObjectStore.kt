package io.tarragonport.tool.capacity

import arrow.core.Either
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject

/** Object store that counts the calls to [store] in [counters]. */
internal class CountingObjectStore(
    private val store: ObjectStore,
    private val counters: StoreCallCounters,
) : ObjectStore by store {
    override suspend fun get(name: String): Either<PlatformError, StoredObject?> {
        counters.reads.incrementAndGet()
        return store.get(name).onRight { counters.bytesRead.addAndGet(it?.value?.length?.toLong() ?: 0L) }
    }

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> {
        counters.writes.incrementAndGet()
        counters.bytesWritten.addAndGet(value.length.toLong())
        return store.put(name, value, condition).onLeft { error ->
            if (error is PlatformError.Conflict) {
                counters.conflicts.incrementAndGet()
            }
        }
    }
}
