package io.tarragonport.core.gateway.balance

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.core.gateway.Samples
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

    private fun board(count: Int): ServerBoard {
        val board = ServerBoard(clock)
        board.configure(listOf(Samples.engineService()))
        board.update((1..count).map { Samples.server("s$it", domain = listOf("a", "b", "c")[it % 3]) })
        return board
    }

    private fun choose(
        board: ServerBoard,
        shared: String,
        short: Boolean = false,
        domain: String = "a",
        usable: (ServerState) -> Boolean = { true },
    ): ServerChoice? {
        val prompt = if (short) Samples.prompt(300, 1_000, shared) else Samples.prompt(13_000, 4_000, shared)
        val request =
            SelectionRequest(Samples.ENGINES, prompt, short, if (short) 400.milliseconds else 2_000.milliseconds)
        return ServerSelector(board, FailureDomainId(domain)).choose(request, clock.markNow(), usable)
    }

    @Test
    fun `all VMs select the same engine for a shared prompt`() {
        (1..50).forEach { number ->
            val chosen =
                listOf(
                    "a",
                    "b",
                    "c",
                ).map { choose(board(12), "part-$number", domain = it)?.server?.registered?.id }
            assertEquals(1, chosen.toSet().size, "part-$number")
        }
    }

    @Test
    fun `shared prompts are distributed over the engines for long prompts`() {
        val board = board(12)
        val counts =
            (1..400)
                .mapNotNull {
                    choose(
                        board,
                        "part-$it",
                    )?.server?.registered?.id
                }.groupingBy { it }
                .eachCount()
        val engines = 12 - board.shortPromptEngines(Samples.ENGINES).size
        assertEquals(engines, counts.size)
        assertTrue(counts.values.max() < 3 * 400 / engines, "$counts")
    }

    @Test
    fun `an engine added later fetches a shared prompt from the engine that processed it`() {
        val board = board(12)
        clock += 20_000.milliseconds
        val before = (1..100).associate { "part-$it" to choose(board, "part-$it")!!.server }
        board.update(board.all.map { it.registered } + Samples.server("late-1") + Samples.server("late-2"))
        val moved =
            before.keys.filter {
                choose(board, it)!!
                    .server.registered.id.value
                    .startsWith("late")
            }
        assertTrue(moved.isNotEmpty())
        moved.forEach { assertEquals(before[it], choose(board, it)!!.fetchFrom, it) }
        clock += 11_000.milliseconds
        moved.forEach { assertNull(choose(board, it)!!.fetchFrom, it) }
    }

    @Test
    fun `prompts of a leaving engine are fetched from it unless it has failed`() {
        val board = board(12)
        clock += 20_000.milliseconds
        val holder = choose(board, "part")!!.server
        board.update(board.all.map { it.registered.copy(leaving = it === holder) })
        val choice = choose(board, "part")!!
        assertTrue(choice.server !== holder)
        assertEquals(holder to 4_000, choice.fetchFrom to choice.tokensToRead)
        repeat(3) { holder.health.failed(clock.markNow()) }
        assertTrue(choose(board, "part")!!.fetchFrom !== holder)
    }

    @Test
    fun `cached prompts and short prompts are not fetched`() {
        val board = board(12)
        clock += 20_000.milliseconds
        val holder = choose(board, "part")!!.server
        repeat(40) { holder.started(13_000) }
        val other = choose(board, "part")!!
        assertEquals(holder, other.fetchFrom)
        other.server.cache.sent(Samples.prompt(13_000, 4_000, "part").sharedParts)
        assertNull(choose(board, "part")!!.fetchFrom)
        assertNull(choose(board, "chat", short = true)!!.fetchFrom)
    }

    @Test
    fun `a busy engine is not selected`() {
        val board = board(12)
        val first = assertNotNull(choose(board, "part")).server
        repeat(40) { first.started(13_000) }
        assertTrue(choose(board, "part")?.server != first)
    }

    @Test
    fun `short and long prompts use different engines until one group is busy`() {
        val board = board(12)
        val forShort = board.shortPromptEngines(Samples.ENGINES)
        assertEquals(3, forShort.size)
        assertEquals(
            3,
            board.all
                .filter { it.registered.id in forShort }
                .map { it.registered.domain }
                .toSet()
                .size,
        )
        (1..50).forEach { number ->
            assertTrue(choose(board, "chat-$number", short = true)!!.server.registered.id in forShort)
            assertTrue(choose(board, "review-$number")!!.server.registered.id !in forShort)
        }
        board.all.filter { it.registered.id in forShort }.forEach { engine -> repeat(5) { engine.started(5_000) } }
        assertTrue(choose(board, "chat", short = true)!!.server.registered.id !in forShort)
    }

    @Test
    fun `engines for short prompts are ordinary ones as far as available`() {
        val board = ServerBoard(clock)
        board.configure(listOf(Samples.engineService()))
        val servers =
            (1..12).map {
                Samples
                    .server(
                        "s$it",
                        domain = listOf("a", "b", "c")[it % 3],
                    ).copy(cheap = it > 2)
            }
        board.update(servers)
        val chosen = servers.filter { it.id in board.shortPromptEngines(Samples.ENGINES) }
        assertEquals(3, chosen.size)
        assertEquals(2, chosen.count { !it.cheap })
    }

    @Test
    fun `few engines are not split into groups`() {
        assertEquals(emptySet(), board(4).shortPromptEngines(Samples.ENGINES))
    }

    @Test
    fun `a server with recent failures is avoided and later selected again`() {
        val board = board(12)
        val first = assertNotNull(choose(board, "part")).server
        repeat(4) { first.health.failed(clock.markNow()) }
        assertTrue(choose(board, "part")?.server != first)
        clock += 30_000.milliseconds
        assertEquals(first, choose(board, "part")?.server)
    }

    @Test
    fun `leaving, suspended and excluded servers are not selected`() {
        val board = ServerBoard(clock)
        board.configure(listOf(Samples.engineService()))
        board.update(listOf(Samples.server("s1", leaving = true), Samples.server("s2"), Samples.server("s3")))
        val suspended = board.all.first { it.registered.id.value == "s2" }
        suspended.closeUntil(clock.markNow() + 50.milliseconds)
        assertEquals(
            "s3",
            choose(board, "part")
                ?.server
                ?.registered
                ?.id
                ?.value,
        )
        assertNull(choose(board, "part") { it.registered.id.value != "s3" })
        clock += 60.milliseconds
        assertEquals(
            "s2",
            choose(board, "part") { it.registered.id.value != "s3" }
                ?.server
                ?.registered
                ?.id
                ?.value,
        )
    }

    @Test
    fun `a server restarted under the same id is treated as new`() {
        val board = ServerBoard(clock)
        board.update(listOf(Samples.server("s1", startedAtMs = 1)))
        val before = board.all.single()
        before.started(100)
        val ended = board.update(listOf(Samples.server("s1", startedAtMs = 2)))
        assertEquals(listOf(before), ended)
        assertEquals(0, board.all.single().inFlight)
    }

    @Test
    fun `the cache estimate evicts the least recently used prompts`() {
        val cache = PromptCacheEstimate()
        cache.capacityTokens = 30_000
        val prompts = (1..3).map { Samples.prompt(13_000, 100, "part-$it").sharedParts }
        prompts.forEach(cache::sent)
        assertEquals(listOf(0, 13_000, 13_000), prompts.map(cache::cachedTokens))
    }
}
