package io.tarragonport.standin.fleet

import kotlinx.serialization.json.JsonElement

/** Objects, revisions and change history of the store stand-in; thread-safe. */
class StoreState {
    private val entries = sortedMapOf<String, StoredEntry>()
    private val history = mutableListOf<StoreChange>()
    private var compactedRevision = 0L

    /** Revision of the last change. */
    @get:Synchronized
    var revision = 1L
        private set

    @Synchronized
    internal fun list(kind: String): List<StoredEntry> = entries.values.filter { it.kind == kind }

    @Synchronized
    internal fun get(
        kind: String,
        name: String,
    ): StoredEntry? = entries["$kind/$name"]

    /** Writes [value] if the object has revision [expected] (null: does not exist); returns null on a conflict. */
    @Synchronized
    internal fun write(
        kind: String,
        name: String,
        value: JsonElement,
        expected: Long?,
    ): StoredEntry? {
        val previous = entries["$kind/$name"]
        if (previous?.revision != expected) return null
        return store(kind, name, value)
    }

    /** Writes [value] unconditionally, as operators and backend servers do. */
    @Synchronized
    internal fun store(
        kind: String,
        name: String,
        value: JsonElement,
    ): StoredEntry {
        val previous = entries["$kind/$name"]
        if (previous?.value == value) return previous
        revision++
        val entry = StoredEntry(kind, name, revision, previous?.created ?: revision, value)
        entries["$kind/$name"] = entry
        history += StoreChange(revision, entry, removed = false)
        return entry
    }

    /** Removes an object. */
    @Synchronized
    fun remove(
        kind: String,
        name: String,
    ) {
        val previous = entries.remove("$kind/$name") ?: return
        revision++
        history += StoreChange(revision, previous, removed = true)
    }

    /** Changes of [kind] after revision [from]; null if the history has been compacted since. */
    @Synchronized
    internal fun changes(
        kind: String,
        from: Long,
    ): List<StoreChange>? =
        if (from < compactedRevision) null else history.filter { it.revision > from && it.entry.kind == kind }

    /** Discards the change history. */
    @Synchronized
    fun compact() {
        history.clear()
        compactedRevision = revision
    }
}
