package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Builds configuration snapshots from section texts that arrive one by one, repeated and in any order.
 *
 * A section is applied only if its version is higher than the one in force. Until every section is known there is no
 * snapshot. Afterwards a section whose references lead nowhere waits for the section that it refers to, at most
 * [MAXIMUM_DEFERRAL]; then it is applied without the entries concerned, so that two conflicting changes cannot block a
 * section for ever. Key shards never wait, because they may carry a withdrawal: a key of an unknown organisation stays
 * unknown until the organisation arrives.
 */
class ConfigurationAssembler(
    private val timeSource: TimeSource,
) {
    private val inForce = HashMap<SectionName, ParsedSection>()
    private val held = LinkedHashMap<SectionName, DeferredSection>()
    private val rejected = HashMap<SectionName, ObjectVersion>()

    /** The configuration in force, null until every section is known. */
    var snapshot: Configuration? = null
        private set

    /** Highest version received in readable form of each section; waiting sections included. */
    val versions: Map<SectionName, ObjectVersion>
        get() = SectionName.ALL.mapNotNull { name -> newest(name)?.let { name to it.version } }.toMap()

    /** Sections that are not known yet, in the order in which to fetch them. */
    val missing: List<SectionName>
        get() = SectionName.ALL.filter { it !in inForce }

    /** The newest text received of [section], null if none was. */
    fun text(section: SectionName): VersionedSection? = newest(section)?.let { VersionedSection(it.version, it.text) }

    /** True if [version] of [section] is worth fetching. */
    fun isNewer(
        section: SectionName,
        version: ObjectVersion,
    ): Boolean {
        val known = newest(section)?.version
        return section in SectionName.ALL &&
            (known == null || version > known) &&
            version > (rejected[section] ?: ObjectVersion.NONE)
    }

    /** Takes the [text] of [section] at [version]. */
    fun offer(
        section: SectionName,
        version: ObjectVersion,
        text: String,
    ): SectionOutcome =
        if (!isNewer(section, version)) {
            SectionOutcome.NotNewer
        } else {
            SectionCodec.parse(section, text).fold(
                { reason -> reject(section, version, reason) },
                { content -> accept(section, ParsedSection(version, text, content)) },
            )
        }

    /**
     * Takes note that at [revision] the store held only the [present] sections: the others are empty. A section with a
     * version above [revision] is left alone, because it was written after the listing.
     */
    fun applyListing(
        present: Set<SectionName>,
        revision: ObjectVersion,
    ): List<SectionName> {
        val emptied = SectionName.ALL.filter { it !in present && mustBecomeEmpty(it, revision) }
        emptied.forEach { section ->
            val version = if (newest(section) == null) ObjectVersion.NONE else revision
            held.remove(section)
            apply(section, emptySection(section, version))
        }
        if (emptied.isNotEmpty()) {
            release()
            publish()
        }
        return emptied
    }

    /** Applies the sections that have waited for [MAXIMUM_DEFERRAL] and returns them with what they waited for. */
    fun applyOverdue(): Map<SectionName, String> {
        val overdue = held.filterValues { it.since.elapsedNow() >= MAXIMUM_DEFERRAL }
        overdue.forEach { (section, waiting) ->
            held.remove(section)
            apply(section, waiting.section)
        }
        if (overdue.isNotEmpty()) {
            release()
            publish()
        }
        return overdue.mapValues { it.value.reference }
    }

    private fun newest(section: SectionName): ParsedSection? = held[section]?.section ?: inForce[section]

    private fun reject(
        section: SectionName,
        version: ObjectVersion,
        reason: String,
    ): SectionOutcome {
        rejected[section] = version
        return SectionOutcome.Rejected(reason)
    }

    private fun accept(
        section: SectionName,
        parsed: ParsedSection,
    ): SectionOutcome {
        val reference = if (mayWait(section)) references().firstDangling(parsed.content) else null
        if (reference != null) {
            val since = held[section]?.since ?: timeSource.markNow()
            held[section] = DeferredSection(parsed, reference, since)
            return SectionOutcome.Deferred(reference)
        }
        held.remove(section)
        apply(section, parsed)
        val released = release()
        publish()
        return SectionOutcome.Applied(released)
    }

    private fun mayWait(section: SectionName): Boolean =
        missing.isEmpty() && (section == SectionName.ROUTES || section == SectionName.LIMITS)

    private fun apply(
        section: SectionName,
        parsed: ParsedSection,
    ) {
        val before = inForce[section]?.version
        check(before == null || parsed.version > before) {
            "section $section would go from version $before back to ${parsed.version}"
        }
        inForce[section] = parsed
    }

    private fun release(): List<SectionName> {
        val references = references()
        val ready = held.filterValues { references.firstDangling(it.section.content) == null }
        ready.forEach { (section, waiting) ->
            held.remove(section)
            apply(section, waiting.section)
        }
        return ready.keys.toList()
    }

    private fun mustBecomeEmpty(
        section: SectionName,
        revision: ObjectVersion,
    ): Boolean {
        val known = newest(section) ?: return true
        return known.text != SectionCodec.EMPTY && revision > known.version
    }

    private fun emptySection(
        section: SectionName,
        version: ObjectVersion,
    ): ParsedSection {
        val content = SectionCodec.parse(section, SectionCodec.EMPTY).getOrNull()
        return ParsedSection(version, SectionCodec.EMPTY, checkNotNull(content))
    }

    private fun publish() {
        if (missing.isEmpty()) {
            val document = document()
            val effective = SectionReferences(document).effective(document)
            snapshot = Configuration(effective, inForce.mapValues { it.value.version })
        }
    }

    private fun references() = SectionReferences(document())

    private fun document(): ConfigurationDocument {
        val contents = SectionName.ALL.mapNotNull { inForce[it]?.content }
        return ConfigurationDocument(
            organisations = contents.filterIsInstance<SectionContent.Organisations>().flatMap { it.entries },
            keys = contents.filterIsInstance<SectionContent.Keys>().flatMap { it.entries },
            classes = contents.filterIsInstance<SectionContent.Classes>().flatMap { it.entries },
            pools = contents.filterIsInstance<SectionContent.Pools>().flatMap { it.entries },
            routes = contents.filterIsInstance<SectionContent.Routes>().flatMap { it.entries },
            limits = contents.filterIsInstance<SectionContent.Limits>().flatMap { it.entries },
        )
    }

    private class ParsedSection(
        val version: ObjectVersion,
        val text: String,
        val content: SectionContent,
    )

    private class DeferredSection(
        val section: ParsedSection,
        val reference: String,
        val since: TimeMark,
    )

    companion object {
        /** Longest wait of a section for another one; the bound within which a change is in force everywhere. */
        val MAXIMUM_DEFERRAL: Duration = 15.seconds
    }
}
