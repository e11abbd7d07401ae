package io.tarragonport.client.section

/** Difference of one entry between two versions of a section. */
sealed interface EntryChange {
    val entry: String

    data class Added(
        override val entry: String,
    ) : EntryChange

    data class Removed(
        override val entry: String,
    ) : EntryChange

    /** [fields] are the names of the fields that differ. */
    data class Changed(
        override val entry: String,
        val fields: List<String>,
    ) : EntryChange
}
