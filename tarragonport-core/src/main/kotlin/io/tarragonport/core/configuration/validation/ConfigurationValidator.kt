package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument

/** Applies all rules to a document and collects the problems found, in the order of the rules. */
class ConfigurationValidator(
    private val rules: List<ValidationRule> = DEFAULT_RULES,
) {
    /** Returns all problems of [document]. */
    fun validate(document: ConfigurationDocument): List<Problem> = rules.flatMap { it.check(document) }

    companion object {
        val DEFAULT_RULES: List<ValidationRule> =
            listOf(
                UniqueIdentifiers,
                ResolvedReferences,
                ConsistentServiceLevels,
                ValidPools,
                SafeRoutes,
                ValidLimits,
            )
    }
}
