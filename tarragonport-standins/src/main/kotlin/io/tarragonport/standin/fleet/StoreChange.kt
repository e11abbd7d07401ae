package io.tarragonport.standin.fleet

/** A change in the store stand-in; [entry] is the object after the change, or before it if [removed]. */
internal data class StoreChange(
    val revision: Long,
    val entry: StoredEntry,
    val removed: Boolean,
)
