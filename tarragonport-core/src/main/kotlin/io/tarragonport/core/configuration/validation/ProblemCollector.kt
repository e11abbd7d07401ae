package io.tarragonport.core.configuration.validation

/** Collects problems of one section; entries are numbered by their index in the section's array. */
internal class ProblemCollector(
    private val section: String,
) {
    private val found = mutableListOf<Problem>()

    /** Adds a problem with [field] of the entry at index [entry] if [valid] is false. */
    fun require(
        valid: Boolean,
        entry: Int,
        field: String,
        message: () -> String,
    ) {
        if (!valid) {
            found += Problem(section, "/$section/$entry/$field", message())
        }
    }

    fun problems(): List<Problem> = found
}
