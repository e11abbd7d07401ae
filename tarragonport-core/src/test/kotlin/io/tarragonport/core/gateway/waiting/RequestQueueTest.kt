package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against sending a request before a more urgent or an older one, and against one that blocks all others. */
class RequestQueueTest {
    private val queue = RequestQueue<Item>()
    private val sent = mutableListOf<String>()
    private val places = mutableMapOf<String, Int>()

    private inner class Item(
        val name: String,
        override val priority: Int,
        service: String = "engines",
        override val excludesServers: Boolean = false,
        override val organisation: OrganisationId? = null,
        override val session: String? = null,
        override val work: Double = 1.0,
        private val afterSending: () -> Unit = {},
    ) : QueuedRequest {
        override val service = ServiceId(service)

        override fun dispatch(): Boolean {
            val free = places[service.value] ?: 0
            if (free == 0 || excludesServers) return false
            places[service.value] = free - 1
            sent += name
            afterSending()
            return true
        }
    }

    private class Case(
        val title: String,
        val waiting: List<Item>,
        val arriving: Item,
        val places: Map<String, Int>,
        val sent: List<String>,
    )

    @Test
    fun `a burst is sent in order of priority and arrival whatever arrives while it waits`() {
        listOf(
            Case("nothing waits", emptyList(), Item("chat", 0), mapOf("engines" to 1), listOf("chat")),
            Case(
                "an older request of the same priority waits",
                listOf(Item("chat", 0)),
                Item("second chat", 0),
                mapOf("engines" to 1),
                listOf("chat"),
            ),
            Case(
                "a more urgent request waits",
                listOf(Item("review", 2), Item("chat", 0)),
                Item("check", 1),
                mapOf("engines" to 2),
                listOf("chat", "check"),
            ),
            Case(
                "a less urgent request waits",
                listOf(Item("review", 2)),
                Item("chat", 0),
                mapOf("engines" to 1),
                listOf("chat"),
            ),
            Case(
                "a request that has used up its servers waits",
                listOf(Item("retry", 0, excludesServers = true)),
                Item("chat", 0),
                mapOf("engines" to 1),
                listOf("chat"),
            ),
            Case(
                "another service is full",
                listOf(Item("order", 0, "ledger")),
                Item("review", 2),
                mapOf("engines" to 1),
                listOf("review"),
            ),
        ).forEach { case ->
            sent.clear()
            places.clear()
            case.waiting.forEach(queue::add)
            places += case.places
            queue.submit(case.arriving)
            assertEquals(case.sent, sent, case.title)
            (case.waiting + case.arriving).forEach { assertEquals(it.name !in sent, it in queue, case.title) }
            (case.waiting + case.arriving).forEach(queue::remove)
        }
    }

    private class Burst(
        val title: String,
        val hot: List<Pair<String, String>>,
        val other: Pair<String, String>,
        val work: Double = 1.0,
        val sentBefore: Int,
    )

    /** The hot organisation or session has forty requests waiting before those of the other arrive. */
    @Test
    fun `an organisation or session that sends ten times as much as others delays only itself`() {
        val one = listOf("hot" to "s")
        listOf(
            Burst("hot organisation", one, "other" to "t", sentBefore = 1),
            Burst("hot session", one, "hot" to "t", sentBefore = 1),
            Burst(
                "hot organisation with many sessions",
                (1..40).map { "hot" to "s$it" },
                "other" to "t",
                sentBefore = 1,
            ),
            Burst("long prompts among short ones", one, "other" to "t", work = 12.0, sentBefore = 1),
        ).forEach { burst ->
            sent.clear()
            val hot = List(40) { item("hot $it", burst.hot[it % burst.hot.size], burst.work) }
            hot.forEach(queue::add)
            places["engines"] = 20
            queue.dispatch()
            val others = List(5) { item("other $it", burst.other, 1.0) }
            others.forEach(queue::add)
            sent.clear()
            places["engines"] = 10
            queue.dispatch()
            assertEquals(others.map { it.name }, sent.filter { it.startsWith("other") }, burst.title)
            assertTrue(sent.take(2 * burst.sentBefore + 1).any { it.startsWith("other") }, "${burst.title}: $sent")
            (hot + others).forEach(queue::remove)
        }
    }

    private fun item(
        name: String,
        from: Pair<String, String>,
        work: Double,
    ) = Item(name, 1, organisation = OrganisationId(from.first), session = from.second, work = work)

    @Test
    fun `a large request gets its turn among many small ones`() {
        val large = Item("large", 1, organisation = OrganisationId("a"), work = 50.0)
        val small = List(20) { Item("small $it", 1, organisation = OrganisationId("b")) }
        (small.take(10) + large + small.drop(10)).forEach(queue::add)
        places["engines"] = 3
        queue.dispatch()
        assertTrue("large" in sent, "$sent")
    }

    @Test
    fun `no request is sent twice if a failure dispatches the queue again`() {
        places["engines"] = 3
        val items = listOf(Item("first", 0, afterSending = queue::dispatch), Item("second", 0), Item("third", 1))
        items.forEach(queue::add)
        queue.dispatch()
        assertEquals(listOf("first", "second", "third"), sent.sorted())
        assertEquals(items.size, sent.size)
        assertTrue(queue.isEmpty)
    }

    @Test
    fun `a removed request is not sent`() {
        val item = Item("chat", 0)
        queue.add(item)
        assertTrue(queue.remove(item))
        assertFalse(queue.remove(item))
        places["engines"] = 1
        queue.dispatch()
        assertTrue(sent.isEmpty())
    }
}
