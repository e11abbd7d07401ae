package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument

/** Checks one aspect of a configuration document. */
fun interface ValidationRule {
    /** Returns all problems found; empty if the document is valid. */
    fun check(document: ConfigurationDocument): List<Problem>
}
