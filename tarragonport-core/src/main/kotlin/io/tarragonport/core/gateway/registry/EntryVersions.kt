package io.tarragonport.core.gateway.registry

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry

/**
 * The versions of the entries of one kind, so that changes which arrive late or twice are recognised.
 *
 * Changes come from this VM's own watch, which may lag, and from other VMs. A deletion can carry the version of the
 * last write before it.
 */
class EntryVersions {
    private class Known(
        val version: ObjectVersion,
        val deleted: Boolean,
    )

    private val known = HashMap<String, Known>()
    private var listedRevision = ObjectVersion.NONE

    /** Applies the complete listing [entries] as of [revision]. */
    fun listed(
        entries: Collection<ObjectEntry>,
        revision: ObjectVersion,
    ) {
        known.clear()
        entries.forEach { known[it.name] = Known(it.version, deleted = false) }
        listedRevision = revision
    }

    /** Forgets all versions, because the object store was restored from an older copy and assigns revisions again. */
    fun reset() {
        known.clear()
        listedRevision = ObjectVersion.NONE
    }

    /** Whether [change] is newer than what is known of its entry; if so, it is known from now on. */
    fun accept(change: ObjectEntry): Boolean {
        val previous = known[change.name]
        val newer =
            when {
                previous == null -> change.deleted || change.version > listedRevision
                change.version == previous.version -> change.deleted && !previous.deleted
                else -> change.version > previous.version
            }
        if (!newer) return false
        if (previous == null && known.size >= MAXIMUM_KNOWN) known.values.removeIf { it.deleted }
        known[change.name] = Known(change.version, change.deleted)
        return previous != null || !change.deleted
    }

    private companion object {
        /** Beyond this number, deletions are forgotten; a late copy arrives within seconds. */
        const val MAXIMUM_KNOWN = 32_768
    }
}
