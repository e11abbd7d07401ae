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

    /** Writes [value] if the object has [expectedRevision] (null: is absent); returns null on a conflict. */
    @Synchronized
    internal fun putIfRevision(
        kind: String,
        name: String,
        value: JsonElement,
        expectedRevision: Long?,
    ): StoredEntry? {
        val previous = entries["$kind/$name"]
        if (previous?.revision != expectedRevision) return null
        return put(kind, name, value)
    }

    /** Writes [value] unconditionally, as operators and backend servers do. */
    @Synchronized
    internal fun put(
        kind: String,
        name: String,
        value: JsonElement,
    ): StoredEntry {
        val previous = entries["$kind/$name"]
        if (previous?.value == value) return previous
        revision++
        val entry = StoredEntry(kind, name, revision, previous?.createdRevision ?: revision, value)
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

    /** Changes of [kind] after revision [after]; null if the history up to a later revision has been discarded. */
    @Synchronized
    internal fun changes(
        kind: String,
        after: Long,
    ): List<StoreChange>? =
        if (after < compactedRevision) null else history.filter { it.revision > after && it.entry.kind == kind }

    /** Discards the change history. */
    @Synchronized
    fun compact() {
        history.clear()
        compactedRevision = revision
    }
}
