package io.tarragonport.client.section

import io.tarragonport.api.id.ObjectVersion

/** Outcome of a conditional write of a section. */
sealed interface WriteResult {
    /** The section now has [version]. */
    data class Written(
        val version: ObjectVersion,
    ) : WriteResult

    /**
     * The stored section is not the one written, usually because another change was written first. [current] is the
     * section as stored now; [absent] is true if it does not exist.
     */
    class Conflict(
        val current: CurrentSection,
        val absent: Boolean,
    ) : WriteResult
}
