package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.core.gateway.Samples
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.TestTimeSource

/** Guards against use of a leaving server whose registration changes around the response that announced its leaving. */
class ServerTableTest {
    private class Case(
        val title: String,
        val open: Boolean,
        val before: List<List<RegisteredServer>> = emptyList(),
        val after: List<List<RegisteredServer>> = emptyList(),
    )

    private val server = Samples.server("s")
    private val restarted = Samples.server("s", startedAtMs = 2)

    private val cases =
        listOf(
            Case("no change", open = false),
            Case("registered again", open = false, after = listOf(listOf(server))),
            Case("gone and back after the response", open = false, after = listOf(emptyList(), listOf(server))),
            Case("gone and back before the response", open = false, before = listOf(emptyList(), listOf(server))),
            Case("restarted after the response", open = true, after = listOf(listOf(restarted))),
            Case("restarted before the response", open = true, before = listOf(listOf(restarted))),
        )

    /** The changes in [Case.before] fall between the request and its response. */
    @Test
    fun `an announced leaving holds for the incarnation that sent it`() =
        cases.forEach { case ->
            val clock = TestTimeSource()
            val table = ServerTable(clock)
            table.update(listOf(server))
            val asked = table.servers(Samples.ENGINES).single()
            case.before.forEach(table::update)
            table.announceLeaving(asked)
            case.after.forEach(table::update)
            val current = table.servers(Samples.ENGINES).single()
            assertEquals(case.open, current.open(clock.markNow()), case.title)
        }
}
