package io.tarragonport.core.gateway.overload

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a sum of buffered bytes without a limit, and against small holders that pay for a large one. */
class BufferBudgetTest {
    private class Case(
        val title: String,
        val updates: List<Pair<String, Int>>,
        val discarded: List<String>,
        val total: Long,
    )

    private val cases =
        listOf(
            Case("within the limit", listOf("a" to 60, "b" to 40), emptyList(), 100),
            Case("a holder that grows counts once", listOf("a" to 10, "a" to 90), emptyList(), 90),
            Case("the largest gives way to a small one", listOf("a" to 60, "b" to 39, "c" to 2), listOf("a"), 41),
            Case("the one that grows is the largest", listOf("a" to 40, "b" to 20, "b" to 61), listOf("b"), 40),
            Case("released bytes are free", listOf("a" to 90, "a" to 0, "b" to 90), emptyList(), 90),
            Case("several give way", listOf("a" to 40, "b" to 40, "c" to 20, "c" to 100), listOf("c"), 80),
            Case("a holder above the limit", listOf("a" to 101), listOf("a"), 0),
        )

    @Test
    fun `the holder with the most bytes discards them if the limit is exceeded`() =
        cases.forEach { case ->
            val budget = BufferBudget(limitBytes = 100)
            val discarded = mutableListOf<String>()
            val holders =
                case.updates.map { it.first }.distinct().associateWith { name ->
                    object : BufferHolder {
                        override fun discardBuffered() {
                            discarded += name
                        }
                    }
                }
            case.updates.forEach { (name, bytes) -> budget.update(holders.getValue(name), bytes) }
            assertEquals(case.discarded, discarded, case.title)
            assertEquals(case.total, budget.total, case.title)
        }

    @Test
    fun `a holder that keeps its bytes counts, and another gives way`() {
        val budget = BufferBudget(limitBytes = 100)
        val discarded = mutableListOf<String>()
        val holders =
            listOf("kept", "large", "small").associateWith { name ->
                object : BufferHolder {
                    override fun discardBuffered() {
                        discarded += name
                    }
                }
            }
        budget.update(holders.getValue("kept"), 80, yields = false)
        budget.update(holders.getValue("large"), 15)
        budget.update(holders.getValue("small"), 10)
        assertEquals(listOf("large"), discarded)
        budget.update(holders.getValue("kept"), 120, yields = false)
        assertEquals(listOf("large", "small"), discarded)
        assertEquals(120, budget.total)
    }

    @Test
    fun `the limit of a process holds two of the largest bodies at least`() =
        listOf(
            Triple(160L, 64L, 32L),
            Triple(48L, 24L, 12L),
            Triple(64L, 512L, 16L),
            Triple(16L, 8L, 8L),
        ).forEach { (heap, direct, limit) ->
            assertEquals(
                limit * MEGABYTE,
                CallerBufferLimit.of(heap * MEGABYTE, direct * MEGABYTE, 4 * MEGABYTE.toInt()),
            )
        }

    private companion object {
        const val MEGABYTE = 1024L * 1024
    }
}
