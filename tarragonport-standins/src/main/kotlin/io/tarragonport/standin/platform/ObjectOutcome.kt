package io.tarragonport.standin.platform

import io.tarragonport.api.id.ObjectVersion

/** Outcome of a write to the object store. */
sealed interface ObjectOutcome {
    /** The write took effect; [created] if the object did not exist. */
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
