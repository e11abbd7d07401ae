package io.tarragonport.daemon.gateway

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.peer.ServerEntryChange
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.EvacuationUpdater
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an evacuation that is missed, ends too early, or comes back with a late message. */
class EvacuationUpdaterTest {
    private class Case(
        val title: String,
        val domains: Set<String>,
        val steps: EvacuationUpdater.() -> Unit,
    )

    private fun entry(
        domain: String,
        version: Long,
        deleted: Boolean = false,
    ) = ObjectEntry("evacuations/$domain", ObjectVersion(version), if (deleted) null else "{}", deleted)

    private fun heard(
        domain: String,
        version: Long,
        deleted: Boolean = false,
    ) = listOf(ServerEntryChange("evacuations/$domain", ObjectVersion(version), if (deleted) null else "{}"))

    private fun EvacuationUpdater.list(
        revision: Long,
        vararg entries: ObjectEntry,
    ) = onListing(entries.toList(), afterOutage = false, ObjectVersion(revision))

    private val cases =
        listOf(
            Case("listed", setOf("a")) { list(5, entry("a", 3)) },
            Case("requested later", setOf("a", "b")) {
                list(5, entry("a", 3))
                onChange(entry("b", 6))
            },
            Case("ended", emptySet()) {
                list(5, entry("a", 3))
                onChange(entry("a", 6, deleted = true))
            },
            Case("heard from another VM", setOf("b")) {
                list(5)
                onPeerChanges(heard("b", 6))
            },
            Case("heard again after its end", emptySet()) {
                list(5)
                onChange(entry("b", 6))
                onChange(entry("b", 7, deleted = true))
                onPeerChanges(heard("b", 6))
            },
            Case("the store is away", setOf("a")) {
                list(5, entry("a", 3))
                storeLost()
                storeRegained()
            },
            Case("ended while the store was away", emptySet()) {
                list(5, entry("a", 3))
                storeLost()
                storeRecovered()
                list(9)
            },
        )

    @Test
    fun `the evacuated domains are those that the operator names`() =
        cases.forEach { case ->
            var current = emptySet<FailureDomainId>()
            val passedOn = mutableListOf<ServerEntryChange>()
            EvacuationUpdater(ControlLog { _, _ -> }, passedOn::add) { current = it }.run(case.steps)
            assertEquals(case.domains, current.map { it.value }.toSet(), case.title)
        }
}
