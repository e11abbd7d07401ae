package io.tarragonport.core.gateway.waiting

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** No request may be passed over for a less urgent one. */
class RequestQueueTest {
    @Test
    fun `requests leave by priority and then by arrival`() {
        val line = RequestQueue<String>()
        listOf("review" to 2, "chat" to 0, "check" to 1, "second chat" to 0).forEach { (item, priority) ->
            line.add(item, priority)
        }
        assertEquals(listOf("chat", "second chat", "check", "review"), line.ordered())
        assertTrue(line.remove("chat"))
        assertFalse(line.remove("chat"))
        assertEquals(3, line.size)
        assertEquals("second chat", line.ordered().first())
    }
}
