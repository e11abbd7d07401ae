package io.tarragonport.daemon.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlin.time.Duration

/** In-memory object store without faults, for a single thread. A watch returns at once with the changes so far. */
class InMemoryObjectStore : ObjectStore {
    private val objects = sortedMapOf<String, StoredObject>()
    private var revision = 0L

    /** Content of the store at one moment. */
    class Copy internal constructor(
        internal val objects: Map<String, StoredObject>,
        internal val revision: Long,
    )

    /** Rises with each [restore]. */
    var era = StoreEra(1)
        private set

    fun copy() = Copy(objects.toMap(), revision)

    /** Replaces the content by [copy]; revisions after that of [copy] are assigned again. */
    fun restore(copy: Copy) {
        objects.clear()
        objects += copy.objects
        revision = copy.revision
        era = StoreEra(era.value + 1)
    }

    /** Names of all objects. */
    val names: List<String> get() = objects.keys.toList()

    /** Current value of [name], null if it does not exist. */
    fun value(name: String): String? = objects[name]?.value

    override suspend fun get(name: String): Either<PlatformError, StoredObject?> = objects[name].right()

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> {
        val current = objects[name]?.version
        val holds =
            when (condition) {
                PutCondition.Absent -> current == null
                is PutCondition.Version -> current == condition.version
            }
        if (!holds) {
            return PlatformError.Conflict(current).left()
        }
        if (value.length > VALUE_LIMIT_BYTES) {
            return PlatformError.Rejected(413, "value of ${value.length} bytes").left()
        }
        val version = ObjectVersion(++revision)
        objects[name] = StoredObject(name, version, value)
        return version.right()
    }

    override suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> {
        val current = objects[name]?.version
        if (current != version) {
            return PlatformError.Conflict(current).left()
        }
        objects.remove(name)
        revision++
        return Unit.right()
    }

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> {
        val found =
            objects.values
                .filter { it.name.startsWith(prefix) }
                .map { ObjectEntry(it.name, it.version, it.value.takeIf { withValues }) }
        return ObjectListing(ObjectVersion(revision), found).right()
    }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> =
        list(prefix, withValues = true).map { listing ->
            listing.copy(objects = listing.objects.filter { it.version > after })
        }

    private companion object {
        const val VALUE_LIMIT_BYTES = 1024 * 1024
    }
}
