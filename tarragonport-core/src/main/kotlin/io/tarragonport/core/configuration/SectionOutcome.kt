package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.SectionName

/** Result of offering a section text to [ConfigurationAssembler]. */
sealed interface SectionOutcome {
    /** The section is active, and so are the [resolved] sections that were deferred until it arrived. */
    data class Applied(
        val resolved: List<SectionName> = emptyList(),
    ) : SectionOutcome

    /** The section is deferred because it refers to entries not received yet; [reference] is the first of them. */
    data class Deferred(
        val reference: String,
    ) : SectionOutcome

    /** This version or a later one was already received. */
    data object NotNewer : SectionOutcome

    /** The text is invalid; the active version remains. */
    data class Rejected(
        val reason: String,
    ) : SectionOutcome
}
