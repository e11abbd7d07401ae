package io.tarragonport.daemon.configuration

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
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An in-memory object store with faults that tests can switch on and off. */
class FakeObjectStore : ObjectStore {
    private val objects = LinkedHashMap<String, ObjectEntry>()
    private val revision = MutableStateFlow(0L)

    /** Calls fail at once. */
    var down = false

    /** Calls never return. */
    var hangs = false

    /** Watches wait until their timeout and report nothing. */
    var watchStuck = false

    /** Entries that watches report instead of the real changes. */
    var watchReports: List<ObjectEntry>? = null

    var reads = 0
        private set

    var watches = 0
        private set

    fun set(
        name: String,
        value: String,
    ): ObjectVersion {
        val version = ObjectVersion(revision.value + 1)
        objects[name] = ObjectEntry(name, version, value)
        revision.value = version.value
        return version
    }

    fun remove(name: String) {
        val version = ObjectVersion(revision.value + 1)
        objects[name] = ObjectEntry(name, version, deleted = true)
        revision.value = version.value
    }

    override suspend fun get(name: String): Either<PlatformError, StoredObject?> =
        respond {
            reads += 1
            objects[name]?.takeIf { !it.deleted }?.let { StoredObject(name, it.version, it.value.orEmpty()) }
        }

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> = respond { set(name, value) }

    override suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> = respond { remove(name) }

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> =
        respond {
            reads += 1
            val found = objects.values.filter { it.name.startsWith(prefix) && !it.deleted }
            ObjectListing(ObjectVersion(revision.value), found.map { if (withValues) it else it.copy(value = null) })
        }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> {
        watches += 1
        withTimeoutOrNull(wait) {
            if (watchStuck) awaitCancellation()
            if (watchReports == null) revision.first { it > after.value }
        }
        return respond {
            val changed = objects.values.filter { it.name.startsWith(prefix) && it.version > after && !watchStuck }
            val reported = watchReports ?: changed.map { it.copy(value = null) }
            ObjectListing(if (watchStuck) after else ObjectVersion(revision.value), reported)
        }
    }

    private suspend fun <T> respond(body: () -> T): Either<PlatformError, T> {
        delay(LATENCY)
        if (hangs) awaitCancellation()
        return if (down) PlatformError.Unavailable("down").left() else body().right()
    }

    private companion object {
        val LATENCY = 2.milliseconds
    }
}
