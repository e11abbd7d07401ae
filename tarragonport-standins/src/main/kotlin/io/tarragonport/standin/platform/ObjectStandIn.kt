package io.tarragonport.standin.platform

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.TreeMap
import kotlin.time.Duration

/**
 * In-memory object store with a single revision, incremented by each write or delete of any object.
 *
 * The last change of each object is retained, including deletes, so a watch can start at any earlier revision.
 */
class ObjectStandIn {
    private val entries = TreeMap<String, ObjectEntry>()
    private val revision = MutableStateFlow(ObjectVersion.NONE)

    @Synchronized
    fun get(name: String): StoredObject? = existing(name)?.let { StoredObject(name, it.version, it.value.orEmpty()) }

    /** Writes [value] if [condition] holds; null writes unconditionally. */
    @Synchronized
    fun put(
        name: String,
        value: String,
        condition: PutCondition?,
    ): ObjectOutcome {
        val current = existing(name)?.version
        val conditionHolds =
            when (condition) {
                null -> true
                PutCondition.Absent -> current == null
                is PutCondition.Version -> current == condition.version
            }
        return when {
            value.encodeToByteArray().size > VALUE_LIMIT_BYTES -> {
                ObjectOutcome.TooLarge
            }

            !conditionHolds -> {
                ObjectOutcome.ConditionFailed(current)
            }

            else -> {
                ObjectOutcome.Written(recordChange(name, value), current == null)
            }
        }
    }

    /** Deletes the object if it has [version]; null deletes any version. */
    @Synchronized
    fun delete(
        name: String,
        version: ObjectVersion?,
    ): ObjectOutcome {
        val current = existing(name)?.version
        return if (current == null || (version != null && version != current)) {
            ObjectOutcome.ConditionFailed(current)
        } else {
            ObjectOutcome.Written(recordChange(name, null), false)
        }
    }

    @Synchronized
    fun list(
        prefix: String,
        withValues: Boolean,
    ): ObjectListing {
        val matching = entriesWithPrefix(prefix).filterNot { it.deleted }
        val listed = if (withValues) matching else matching.map { it.copy(value = null) }
        return ObjectListing(revision.value, listed)
    }

    /**
     * Waits up to [wait] for changes after revision [after] and returns them.
     *
     * The response is delayed by [lag] after a change, but not beyond the end of [wait].
     */
    suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
        lag: Duration,
    ): ObjectListing {
        withTimeoutOrNull(wait) {
            revision.first { changes(prefix, after).objects.isNotEmpty() }
            delay(lag)
        }
        return changes(prefix, after)
    }

    @Synchronized
    private fun changes(
        prefix: String,
        after: ObjectVersion,
    ): ObjectListing =
        ObjectListing(
            revision.value,
            entriesWithPrefix(prefix).filter { it.version > after }.sortedBy { it.version },
        )

    private fun existing(name: String): ObjectEntry? = entries[name]?.takeUnless { it.deleted }

    private fun entriesWithPrefix(prefix: String): List<ObjectEntry> =
        entries
            .tailMap(prefix)
            .values
            .takeWhile { it.name.startsWith(prefix) }

    private fun recordChange(
        name: String,
        value: String?,
    ): ObjectVersion {
        val version = ObjectVersion(revision.value.value + 1)
        entries[name] = ObjectEntry(name, version, value, deleted = value == null)
        revision.value = version
        return version
    }

    companion object {
        /** Largest value in bytes (1 MB). */
        const val VALUE_LIMIT_BYTES = 1_000_000
    }
}
