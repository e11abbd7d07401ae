package io.tarragonport.daemon.configuration

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.core.configuration.ConfigurationAssembler
import io.tarragonport.core.configuration.SectionOutcome
import io.tarragonport.daemon.event.line
import kotlinx.coroutines.flow.MutableStateFlow
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/** Holds the sections of this VM and the snapshot that request handling reads; logs changes of the sections. */
internal class ConfigurationState(
    timeSource: TimeSource,
) {
    val assembler = ConfigurationAssembler(timeSource)
    val current = MutableStateFlow<Configuration?>(null)

    val complete: Boolean get() = assembler.missing.isEmpty()

    /** Versions in the order of `SectionName.ALL`; empty while sections are missing. */
    fun versionList(): List<Long> {
        val versions = assembler.versions
        return if (complete) SectionName.ALL.map { versions.getValue(it).value } else emptyList()
    }

    fun offer(
        section: SectionName,
        version: ObjectVersion,
        text: String,
    ) {
        when (val outcome = assembler.offer(section, version, text)) {
            is SectionOutcome.Applied -> {
                log(ConfigurationEvents.SECTION_APPLIED, "$section version $version")
                outcome.resolved.forEach {
                    log(ConfigurationEvents.SECTION_APPLIED, "$it, which was deferred until $section arrived")
                }
            }
            is SectionOutcome.Deferred ->
                log(ConfigurationEvents.SECTION_HELD, "$section version $version until ${outcome.reference} exists")
            is SectionOutcome.Rejected ->
                log(ConfigurationEvents.SECTION_REJECTED, "$section version $version: ${outcome.reason}")
            SectionOutcome.NotNewer -> Unit
        }
        publish()
    }

    /** Applies a listing by the store, or by peers in its place; only the [present] sections exist at [revision]. */
    fun applyListing(
        present: Set<SectionName>,
        revision: ObjectVersion,
    ) {
        assembler.applyListing(present, revision).forEach { log(ConfigurationEvents.SECTION_APPLIED, "$it is empty") }
        publish()
    }

    /** Applies deferred sections although the section that they refer to has not arrived in time. */
    fun applyOverdue() {
        assembler.applyOverdue().forEach { (section, reference) ->
            log(ConfigurationEvents.REFERENCE_MISSING, "$section refers to $reference, which does not exist")
        }
        publish()
    }

    fun log(
        event: LogEvent,
        text: String,
    ) = logger.info { event.line(text) }

    private fun publish() {
        val snapshot = assembler.snapshot
        if (snapshot !== current.value) {
            if (current.value == null) log(ConfigurationEvents.COMPLETE, "${snapshot?.versions}")
            current.value = snapshot
        }
    }
}
