package io.tarragonport.core.gateway.registry

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a server that has left and is used again because an older change arrived late. */
class EntryVersionsTest {
    private fun put(version: Long) = ObjectEntry("servers/s", ObjectVersion(version), "value")

    private fun deletion(version: Long) = ObjectEntry("servers/s", ObjectVersion(version), deleted = true)

    private class Case(
        val title: String,
        val listed: List<ObjectEntry>,
        val changes: List<ObjectEntry>,
        val accepted: List<Boolean>,
    )

    @Test
    fun `only changes newer than those known are accepted`() {
        listOf(
            Case("new server", emptyList(), listOf(put(101)), listOf(true)),
            Case("change of a listed server", listOf(put(90)), listOf(put(101)), listOf(true)),
            Case("the same change from two VMs", listOf(put(90)), listOf(put(101), put(101)), listOf(true, false)),
            Case("late change after a newer one", listOf(put(90)), listOf(put(103), put(101)), listOf(true, false)),
            Case("removed, then a late change", listOf(put(90)), listOf(deletion(102), put(101)), listOf(true, false)),
            Case("removal with the version of the last write", listOf(put(90)), listOf(deletion(90)), listOf(true)),
            Case("removed twice", listOf(put(90)), listOf(deletion(90), deletion(90)), listOf(true, false)),
            Case("removed and registered again", listOf(put(90)), listOf(deletion(102), put(103)), listOf(true, true)),
            Case("late removal of an earlier registration", listOf(put(105)), listOf(deletion(102)), listOf(false)),
            Case("removed before the listing, then a late change", emptyList(), listOf(put(99)), listOf(false)),
            Case("removal of an unknown server", emptyList(), listOf(deletion(102), put(101)), listOf(false, false)),
        ).forEach { case ->
            val versions = EntryVersions()
            versions.listed(case.listed, ObjectVersion(100))
            assertEquals(case.accepted, case.changes.map(versions::accept), case.title)
        }
    }
}
