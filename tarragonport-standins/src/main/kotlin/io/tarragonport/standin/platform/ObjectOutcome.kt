package io.tarragonport.standin.platform

import io.tarragonport.api.id.ObjectVersion

/** Outcome of a write to the object store, or of a delete. */
sealed interface ObjectOutcome {
    /** The write took effect with [version] as the new revision; [created] if the object did not exist before. */
    data class Written(
        val version: ObjectVersion,
        val created: Boolean,
    ) : ObjectOutcome

    /** The write condition failed; [current] is the stored version, null if the object does not exist. */
    data class ConditionFailed(
        val current: ObjectVersion?,
    ) : ObjectOutcome

    /** The value exceeds the size limit. */
    data object TooLarge : ObjectOutcome
}
