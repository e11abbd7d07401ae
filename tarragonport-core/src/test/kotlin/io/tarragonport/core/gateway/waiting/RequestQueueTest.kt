package io.tarragonport.core.gateway.waiting

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against sending a less urgent request before a more urgent one. */
class RequestQueueTest {
    @Test
    fun `requests are ordered by priority and then by arrival`() {
        val queue = RequestQueue<String>()
        listOf("review" to 2, "chat" to 0, "check" to 1, "second chat" to 0).forEach { (item, priority) ->
            queue.add(item, priority)
        }
        assertEquals(listOf("chat", "second chat", "check", "review"), queue.ordered())
        assertTrue(queue.remove("chat"))
        assertFalse(queue.remove("chat"))
        assertEquals(3, queue.size)
        assertEquals("second chat", queue.ordered().first())
    }
}
