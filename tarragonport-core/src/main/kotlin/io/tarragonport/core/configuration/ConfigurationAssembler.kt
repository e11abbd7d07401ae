package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Builds configuration snapshots from section texts that arrive one by one, in any order and possibly repeated.
 *
 * A section is applied only if its version is higher than the active one. There is no snapshot until every section is
 * known. After that, a section with dangling references is deferred until the section that it refers to arrives, for at
 * most [MAXIMUM_DEFERRAL]; then it is applied without the affected entries, so that two conflicting changes cannot
 * block a section forever. Key shards are never deferred, because they may contain a withdrawal; a key of an unknown
 * organisation is left out until the organisation arrives.
 */
class ConfigurationAssembler(
    private val timeSource: TimeSource,
) {
    private val active = HashMap<SectionName, ParsedSection>()
    private val deferred = LinkedHashMap<SectionName, DeferredSection>()
    private val rejected = HashMap<SectionName, ObjectVersion>()

    /** The active configuration, null until every section is known. */
    var snapshot: Configuration? = null
        private set

    /** Highest valid version received of each section, including deferred sections. */
    val versions: Map<SectionName, ObjectVersion>
        get() = SectionName.ALL.mapNotNull { name -> newest(name)?.let { name to it.version } }.toMap()

    /** Sections that are not known yet, in fetch order. */
    val missing: List<SectionName>
        get() = SectionName.ALL.filter { it !in active }

    /** The latest valid text received of [section], null if there is none. */
    fun text(section: SectionName): VersionedSection? = newest(section)?.let { VersionedSection(it.version, it.text) }

    /** True if [version] of [section] is newer than any received or rejected version and should be fetched. */
    fun isNewer(
        section: SectionName,
        version: ObjectVersion,
    ): Boolean {
        val known = newest(section)?.version
        return section in SectionName.ALL &&
            (known == null || version > known) &&
            version > (rejected[section] ?: ObjectVersion.NONE)
    }

    /** Applies, defers or rejects the [text] of [section] at [version]. */
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
     * Applies a listing of the store, in which only the [present] sections existed at [revision]. The other sections
     * become empty, except those with a version above [revision], which were written after the listing. Returns the
     * sections that were emptied.
     */
    fun applyListing(
        present: Set<SectionName>,
        revision: ObjectVersion,
    ): List<SectionName> {
        val emptied = SectionName.ALL.filter { it !in present && mustBecomeEmpty(it, revision) }
        emptied.forEach { section ->
            val version = if (newest(section) == null) ObjectVersion.NONE else revision
            deferred.remove(section)
            apply(section, emptySection(section, version))
        }
        if (emptied.isNotEmpty()) {
            applyResolved()
            publish()
        }
        return emptied
    }

    /** Applies the sections deferred for [MAXIMUM_DEFERRAL] and returns them with their first dangling reference. */
    fun applyOverdue(): Map<SectionName, String> {
        val overdue = deferred.filterValues { it.since.elapsedNow() >= MAXIMUM_DEFERRAL }
        overdue.forEach { (section, deferredSection) ->
            deferred.remove(section)
            apply(section, deferredSection.section)
        }
        if (overdue.isNotEmpty()) {
            applyResolved()
            publish()
        }
        return overdue.mapValues { it.value.reference }
    }

    private fun newest(section: SectionName): ParsedSection? = deferred[section]?.section ?: active[section]

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
        val reference = if (mayDefer(section)) references().firstDangling(parsed.content) else null
        if (reference != null) {
            val since = deferred[section]?.since ?: timeSource.markNow()
            deferred[section] = DeferredSection(parsed, reference, since)
            return SectionOutcome.Deferred(reference)
        }
        deferred.remove(section)
        apply(section, parsed)
        val resolved = applyResolved()
        publish()
        return SectionOutcome.Applied(resolved)
    }

    private fun mayDefer(section: SectionName): Boolean =
        missing.isEmpty() && (section == SectionName.ROUTES || section == SectionName.LIMITS)

    private fun apply(
        section: SectionName,
        parsed: ParsedSection,
    ) {
        val before = active[section]?.version
        check(before == null || parsed.version > before) {
            "section $section must not change from version $before to ${parsed.version}"
        }
        active[section] = parsed
    }

    private fun applyResolved(): List<SectionName> {
        val references = references()
        val ready = deferred.filterValues { references.firstDangling(it.section.content) == null }
        ready.forEach { (section, deferredSection) ->
            deferred.remove(section)
            apply(section, deferredSection.section)
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
            snapshot = Configuration(effective, active.mapValues { it.value.version })
        }
    }

    private fun references() = SectionReferences(document())

    private fun document(): ConfigurationDocument {
        val contents = SectionName.ALL.mapNotNull { active[it]?.content }
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
        /** Longest deferral of a section, equal to the time limit for activating a change on every VM. */
        val MAXIMUM_DEFERRAL: Duration = 15.seconds
    }
}
