package io.tarragonport.core.gateway.stream

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against forwarding a truncated event as a complete one. */
class EventSplitterTest {
    private data class Case(
        val chunks: List<String>,
        val forwarded: List<String?>,
        val lastId: String?,
        val unfinished: Boolean,
    )

    @Test
    fun `only complete events are forwarded`() {
        listOf(
            Case(listOf("id: 1\ndata: a\n\n"), listOf("id: 1\ndata: a\n\n"), "1", false),
            Case(listOf("id: 1\nda", "ta: a\n", "\n"), listOf(null, null, "id: 1\ndata: a\n\n"), "1", false),
            Case(listOf("id: 1\n\nid: 2\nda"), listOf("id: 1\n\n"), "1", true),
            Case(listOf("id: 1\r\ndata: a\r\n\r\n"), listOf("id: 1\r\ndata: a\r\n\r\n"), "1", false),
            Case(listOf("id:7\n\n", "data: no id\n\n"), listOf("id:7\n\n", "data: no id\n\n"), "7", false),
            Case(listOf("data: " + "x".repeat(500)), listOf(null), null, true),
        ).forEach { case ->
            val splitter = EventSplitter()
            val forwarded = case.chunks.map { splitter.add(it.toByteArray())?.decodeToString() }
            assertEquals(case.forwarded, forwarded, "$case")
            assertEquals(case.lastId, splitter.lastId, "$case")
            assertEquals(case.unfinished, splitter.unfinished, "$case")
        }
    }

    @Test
    fun `the same events are forwarded wherever the bytes are split`() {
        val text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"
        (1 until text.length).forEach { cut ->
            val splitter = EventSplitter()
            val forwarded = listOf(text.take(cut), text.drop(cut)).mapNotNull { splitter.add(it.toByteArray()) }
            assertEquals(text, forwarded.joinToString("") { it.decodeToString() }, "split at $cut")
            assertEquals("3", splitter.lastId)
        }
    }

    @Test
    fun `an event that never ends is reported before it fills the memory`() {
        val splitter = EventSplitter()
        val piece = "data: ${"x".repeat(10_000)}".toByteArray()
        var added = 0
        while (!splitter.oversized && added < 100 * EventSplitter.MAX_EVENT_BYTES) {
            splitter.add(piece)
            added += piece.size
        }
        assertTrue(splitter.oversized)
        assertTrue(added <= EventSplitter.MAX_EVENT_BYTES + piece.size, "$added bytes")
    }
}
