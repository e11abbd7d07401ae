package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptPart
import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.Samples
import io.tarragonport.core.gateway.fleet.FleetView
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against several engines processing the same shared prompt, and long prompts that delay short chats. */
class ServerSelectorTest {
    private val clock = TestTimeSource()

    private fun serverTable(count: Int): ServerTable {
        val serverTable = ServerTable(clock)
        serverTable.configure(listOf(Samples.engineService()))
        serverTable.update((1..count).map { Samples.server("s$it", domain = listOf("a", "b", "c")[it % 3]) })
        return serverTable
    }

    private fun choose(
        serverTable: ServerTable,
        shared: String,
        short: Boolean = false,
        domain: String = "a",
        usable: (TrackedServer) -> Boolean = { true },
    ): ServerChoice? {
        val prompt = if (short) Samples.prompt(300, 1_000, shared) else Samples.prompt(13_000, 4_000, shared)
        val request =
            SelectionRequest(Samples.ENGINES, prompt, short, if (short) 400.milliseconds else 2_000.milliseconds)
        return ServerSelector(serverTable, FailureDomainId(domain)).choose(request, clock.markNow(), usable)
    }

    @Test
    fun `all VMs select the same engine for a shared prompt`() {
        (1..50).forEach { number ->
            val chosen =
                listOf(
                    "a",
                    "b",
                    "c",
                ).map { choose(serverTable(12), "part-$number", domain = it)?.server?.registered?.id }
            assertEquals(1, chosen.toSet().size, "part-$number")
        }
    }

    @Test
    fun `shared prompts are distributed over the engines for long prompts`() {
        val serverTable = serverTable(12)
        val counts =
            (1..400)
                .mapNotNull {
                    choose(
                        serverTable,
                        "part-$it",
                    )?.server?.registered?.id
                }.groupingBy { it }
                .eachCount()
        val engines = 12 - serverTable.shortPromptEngines(Samples.ENGINES).size
        assertEquals(engines, counts.size)
        assertTrue(counts.values.max() < 3 * 400 / engines, "$counts")
    }

    @Test
    fun `an engine added later fetches a shared prompt from the engine that processed it`() {
        val serverTable = serverTable(12)
        clock += 20_000.milliseconds
        val before = (1..100).associate { "part-$it" to choose(serverTable, "part-$it")!!.server }
        serverTable.update(serverTable.all.map { it.registered } + Samples.server("late-1") + Samples.server("late-2"))
        val moved =
            before.keys.filter {
                choose(serverTable, it)!!
                    .server.registered.id.value
                    .startsWith("late")
            }
        assertTrue(moved.isNotEmpty())
        moved.forEach { assertEquals(before[it], choose(serverTable, it)!!.fetchFrom, it) }
        clock += 11_000.milliseconds
        moved.forEach { assertNull(choose(serverTable, it)!!.fetchFrom, it) }
    }

    @Test
    fun `prompts of a leaving engine are fetched from it unless it has failed`() {
        val serverTable = serverTable(12)
        clock += 20_000.milliseconds
        val holder = choose(serverTable, "part")!!.server
        serverTable.update(serverTable.all.map { it.registered.copy(leaving = it === holder) })
        val choice = choose(serverTable, "part")!!
        assertTrue(choice.server !== holder)
        assertEquals(holder to 4_000, choice.fetchFrom to choice.tokensToProcess)
        repeat(3) { holder.health.failed(clock.markNow()) }
        assertTrue(choose(serverTable, "part")!!.fetchFrom !== holder)
    }

    @Test
    fun `cached prompts and short prompts are not fetched`() {
        val serverTable = serverTable(12)
        clock += 20_000.milliseconds
        val holder = choose(serverTable, "part")!!.server
        repeat(40) { holder.recordSent(13_000) }
        val other = choose(serverTable, "part")!!
        assertEquals(holder, other.fetchFrom)
        other.server.cache.sent(Samples.prompt(13_000, 4_000, "part").sharedParts)
        assertNull(choose(serverTable, "part")!!.fetchFrom)
        assertNull(choose(serverTable, "chat", short = true)!!.fetchFrom)
    }

    @Test
    fun `a busy engine is not selected`() {
        val serverTable = serverTable(12)
        val first = assertNotNull(choose(serverTable, "part")).server
        repeat(40) { first.recordSent(13_000) }
        assertTrue(choose(serverTable, "part")?.server != first)
    }

    @Test
    fun `short and long prompts use different engines until one group is busy`() {
        val serverTable = serverTable(12)
        val shortPromptEngines = serverTable.shortPromptEngines(Samples.ENGINES)
        assertEquals(3, shortPromptEngines.size)
        assertEquals(
            3,
            serverTable.all
                .filter { it.registered.id in shortPromptEngines }
                .map { it.registered.domain }
                .toSet()
                .size,
        )
        (1..50).forEach { number ->
            assertTrue(choose(serverTable, "chat-$number", short = true)!!.server.registered.id in shortPromptEngines)
            assertTrue(choose(serverTable, "review-$number")!!.server.registered.id !in shortPromptEngines)
        }
        serverTable.all.filter { it.registered.id in shortPromptEngines }.forEach { engine ->
            repeat(5) { engine.recordSent(5_000) }
        }
        assertTrue(choose(serverTable, "chat", short = true)!!.server.registered.id !in shortPromptEngines)
    }

    @Test
    fun `engines for short prompts are ordinary ones as far as available`() {
        val serverTable = ServerTable(clock)
        serverTable.configure(listOf(Samples.engineService()))
        val servers =
            (1..12).map {
                Samples
                    .server(
                        "s$it",
                        domain = listOf("a", "b", "c")[it % 3],
                    ).copy(cheap = it > 2)
            }
        serverTable.update(servers)
        val chosen = servers.filter { it.id in serverTable.shortPromptEngines(Samples.ENGINES) }
        assertEquals(3, chosen.size)
        assertEquals(2, chosen.count { !it.cheap })
    }

    @Test
    fun `few engines are not split into groups`() {
        assertEquals(emptySet(), serverTable(4).shortPromptEngines(Samples.ENGINES))
    }

    @Test
    fun `a server with recent failures is avoided and later selected again`() {
        val serverTable = serverTable(12)
        val first = assertNotNull(choose(serverTable, "part")).server
        repeat(4) { first.health.failed(clock.markNow()) }
        assertTrue(choose(serverTable, "part")?.server != first)
        clock += 30_000.milliseconds
        assertEquals(first, choose(serverTable, "part")?.server)
    }

    @Test
    fun `leaving, suspended and excluded servers are not selected`() {
        val serverTable = ServerTable(clock)
        serverTable.configure(listOf(Samples.engineService()))
        serverTable.update(listOf(Samples.server("s1", leaving = true), Samples.server("s2"), Samples.server("s3")))
        val suspended = serverTable.all.first { it.registered.id.value == "s2" }
        suspended.suspendUntil(clock.markNow() + 50.milliseconds)
        assertEquals(
            "s3",
            choose(serverTable, "part")
                ?.server
                ?.registered
                ?.id
                ?.value,
        )
        assertNull(choose(serverTable, "part") { it.registered.id.value != "s3" })
        clock += 60.milliseconds
        assertEquals(
            "s2",
            choose(serverTable, "part") { it.registered.id.value != "s3" }
                ?.server
                ?.registered
                ?.id
                ?.value,
        )
    }

    @Test
    fun `a server restarted under the same id is treated as new`() {
        val serverTable = ServerTable(clock)
        serverTable.update(listOf(Samples.server("s1", startedAtMs = 1)))
        val before = serverTable.all.single()
        before.recordSent(100)
        val ended = serverTable.update(listOf(Samples.server("s1", startedAtMs = 2)))
        assertEquals(listOf(before), ended)
        assertEquals(0, serverTable.all.single().inFlight)
    }

    @Test
    fun `the cache estimate evicts the least recently used prompts`() {
        val cache = PromptCacheEstimate()
        cache.capacityTokens = 30_000
        val prompts = (1..3).map { Samples.prompt(13_000, 100, "part-$it").sharedParts }
        prompts.forEach(cache::sent)
        assertEquals(listOf(0, 13_000, 13_000), prompts.map(cache::cachedTokens))
    }

    @Test
    fun `in a large fleet chats with one short part in common use all engines for short prompts`() {
        val serverTable = serverTable(40)
        serverTable.fleet = FleetView(VmId("vm-1"), (1..68).map { VmId("vm-$it") })
        val selector = ServerSelector(serverTable, FailureDomainId("a"))
        val used =
            (1..400).map { number ->
                val parts = listOf(PromptPart("system", 300), PromptPart("chat-$number", 800))
                val request =
                    SelectionRequest(Samples.ENGINES, PromptShape("m", 1_100, 100, parts), true, 400.milliseconds)
                checkNotNull(selector.choose(request, clock.markNow()) { true }).server.registered.id
            }
        val group = serverTable.shortPromptEngines(Samples.ENGINES)
        assertEquals(group, used.toSet())
        assertTrue(
            used
                .groupingBy { it }
                .eachCount()
                .values
                .max() < 3 * 400 / group.size,
        )
    }

    @Test
    fun `a chat does not wait for a full engine while another may take it, a long prompt waits for its own group`() {
        val serverTable = serverTable(40)
        serverTable.fleet = FleetView(VmId("vm-1"), (1..68).map { VmId("vm-$it") })
        val (short, long) = serverTable.all.partition { it.forShortPrompts }
        val selector = ServerSelector(serverTable, FailureDomainId("a"))

        fun chosen(shortPrompt: Boolean): TrackedServer? {
            val prompt = if (shortPrompt) Samples.prompt(300, 800, "chat") else Samples.prompt(13_000, 4_000, "part")
            val request = SelectionRequest(Samples.ENGINES, prompt, shortPrompt, 400.milliseconds, 400.milliseconds)
            return selector.choose(request, clock.markNow()) { true }?.server
        }
        short.forEach { server -> repeat(100) { server.recordSent(0) } }
        assertTrue(chosen(shortPrompt = true) in long)
        assertTrue(chosen(shortPrompt = false) in long)
        long.forEach { server -> repeat(100) { server.recordSent(0) } }
        assertNull(chosen(shortPrompt = true))
        assertNull(chosen(shortPrompt = false))
        short.forEach { server -> repeat(100) { server.recordEnd() } }
        assertTrue(chosen(shortPrompt = true) in short)
    }
}
