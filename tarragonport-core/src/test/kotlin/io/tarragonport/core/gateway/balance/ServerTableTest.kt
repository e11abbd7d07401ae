package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.Samples
import io.tarragonport.core.gateway.fleet.FleetView
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against use of a server that leaves, is cold or in an evacuated domain, whatever happens to its registration. */
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

    @Test
    fun `servers of an evacuated domain get nothing, also those that register later`() {
        val clock = TestTimeSource()
        val table = ServerTable(clock)
        val servers = listOf(Samples.server("a1", "a"), Samples.server("b1", "b"))
        table.update(servers)
        table.evacuate(setOf(FailureDomainId("a")))
        table.update(servers + Samples.server("a2", "a"))
        val open = { table.servers(Samples.ENGINES).filter { it.open(clock.markNow()) }.map { it.registered.id.value } }
        assertEquals(listOf("b1"), open())
        table.evacuate(emptySet())
        clock += 1.seconds
        assertEquals(listOf("a1", "a2", "b1"), open().sorted())
    }

    @Test
    fun `a cold server is left to the VMs whose turn it is, however often its entry changes`() {
        val clock = TestTimeSource()
        val vms = (1..68).map { VmId("vm-$it") }
        val tables =
            vms.map { vm ->
                ServerTable(clock).also {
                    it.fleet = FleetView(vm, vms)
                    it.configure(listOf(Samples.engineService().copy(coldRate = 5.0)))
                    it.update(listOf(server))
                }
            }
        val changes = listOf(2_000, 1_400, 900, 300).map { server.copy(coldFor = it.milliseconds) }
        var sent = 0
        changes.forEach { change ->
            tables.forEach { it.update(listOf(change)) }
            repeat(600) {
                tables.map { it.servers(Samples.ENGINES).single() }.filter { it.open(clock.markNow()) }.forEach {
                    it.pace.sent(clock.markNow())
                    sent++
                }
                clock += 1.milliseconds
            }
            if (change.coldFor!! > 300.milliseconds) assertTrue(sent <= 15, "$sent requests")
        }
        tables.forEach { it.update(listOf(server)) }
        assertEquals(68, tables.count { it.servers(Samples.ENGINES).single().open(clock.markNow()) })
    }
}
