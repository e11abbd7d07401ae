package io.tarragonport.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlin.time.Duration

/**
 * An object store in memory. [beforePut] runs before each write; [loseNextResponse] applies the next write but reports
 * the store as unavailable.
 */
class FakeStore : ObjectStore {
    val objects = sortedMapOf<String, StoredObject>()
    var beforePut: (String) -> Unit = {}
    var loseNextResponse = false
    var available = true
    private var revision = 0L

    fun store(
        name: String,
        value: String,
    ): ObjectVersion {
        val version = ObjectVersion(++revision)
        objects[name] = StoredObject(name, version, value)
        return version
    }

    override suspend fun get(name: String): Either<PlatformError, StoredObject?> =
        if (available) objects[name].right() else UNAVAILABLE.left()

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> {
        beforePut(name)
        val current = objects[name]?.version
        val conditionHolds = current == (condition as? PutCondition.Version)?.version
        return when {
            !available -> {
                UNAVAILABLE.left()
            }

            !conditionHolds -> {
                PlatformError.Conflict(current).left()
            }

            else -> {
                val version = store(name, value)
                if (loseNextResponse) UNAVAILABLE.left().also { loseNextResponse = false } else version.right()
            }
        }
    }

    override suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> = error("not used by the client")

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> {
        if (!available) {
            return UNAVAILABLE.left()
        }
        val found = objects.values.filter { it.name.startsWith(prefix) }
        return ObjectListing(ObjectVersion(revision), found.map { ObjectEntry(it.name, it.version, it.value) }).right()
    }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> = error("not used by the client")

    private companion object {
        val UNAVAILABLE = PlatformError.Unavailable("connection refused")
    }
}
