package io.tarragonport.core.configuration.validation

/**
 * A problem in a configuration document.
 *
 * [section] is the name of the section, [path] the JSON pointer of the value, such as `/routes/2/pool`.
 */
data class Problem(
    val section: String,
    val path: String,
    val message: String,
)
