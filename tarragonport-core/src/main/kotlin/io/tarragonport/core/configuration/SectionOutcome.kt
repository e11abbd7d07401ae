package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.SectionName

/** What became of a section text given to [ConfigurationAssembler]. */
sealed interface SectionOutcome {
    /** The section is in force, and so are the [released] sections that had waited for it. */
    data class Applied(
        val released: List<SectionName> = emptyList(),
    ) : SectionOutcome

    /** The section refers to entries that this VM does not have yet and waits for them; [reference] is the first. */
    data class Deferred(
        val reference: String,
    ) : SectionOutcome

    /** This version or a later one was received before. */
    data object NotNewer : SectionOutcome

    /** The text cannot be read; the version in force stays. */
    data class Rejected(
        val reason: String,
    ) : SectionOutcome
}
