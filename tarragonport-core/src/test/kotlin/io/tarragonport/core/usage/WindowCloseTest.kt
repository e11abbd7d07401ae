package io.tarragonport.core.usage

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.id.VmId
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against tokens that are counted in no figure, in two figures or in the wrong window. */
class WindowCloseTest {
    private val organisation = OrganisationId("org")

    /** Amounts by window, as counted when each of the windows 10, 11, ... is closed, and the expected figures. */
    private data class Case(
        val name: String,
        val countedAtClose: List<List<Pair<Long, Long>>>,
        val figures: List<Pair<Long, Long>>,
    )

    private val cases =
        listOf(
            Case(
                "tokens of the next window are not included",
                listOf(listOf(10L to 5L, 11L to 3L)),
                listOf(
                    5L to 0L,
                ),
            ),
            Case(
                "each window has its own tokens",
                listOf(listOf(10L to 5L), listOf(10L to 5L, 11L to 3L)),
                listOf(5L to 0L, 3L to 0L),
            ),
            Case(
                "tokens flushed after the close are late",
                listOf(listOf(10L to 5L), listOf(10L to 9L, 11L to 3L)),
                listOf(5L to 0L, 7L to 4L),
            ),
            Case("tokens before the first window are late", listOf(listOf(8L to 2L, 10L to 5L)), listOf(7L to 2L)),
            Case(
                "windows no longer retained are counted late",
                listOf(
                    listOf(10L to 1L, 11L to 2L, 12L to 4L, 13L to 8L, 14L to 16L),
                    listOf(10L to 1L, 11L to 2L, 12L to 4L, 13L to 8L, 14L to 16L),
                    listOf(10L to 1L, 11L to 2L, 12L to 4L, 13L to 8L, 14L to 16L),
                ),
                listOf(0L to 0L, 3L to 3L, 4L to 0L),
            ),
            Case("a process without traffic has no figure", listOf(emptyList()), listOf(0L to 0L)),
        )

    @Test
    fun `figures contain the tokens of their window and late tokens of earlier windows`() {
        for (case in cases) {
            var previous: ClosedWindow? = null
            val figures =
                case.countedAtClose.mapIndexed { index, amounts ->
                    val closed = close(10L + index, previous, usage(amounts))
                    previous = closed
                    val figure = closed.figures[organisation]
                    (figure?.total?.generatedTokens ?: 0L) to (figure?.late?.generatedTokens ?: 0L)
                }
            assertEquals(case.figures, figures, case.name)
        }
    }

    @Test
    fun `the counts of a deleted object stay in the sum`() {
        val first = close(10, null, usage(listOf(10L to 5L)))
        val second = close(11, first)
        assertEquals(mapOf(organisation to UsageTotals(0, 5, 1)), second.departed)
        assertTrue(second.figures.isEmpty() && second.included.isEmpty())
    }

    @Test
    fun `a decreased total and a gap between windows are detected`() {
        val first = close(10, null, usage(listOf(10L to 5L)))
        assertThrows<IllegalStateException> { close(11, first, usage(listOf(10L to 4L))) }
        assertThrows<IllegalStateException> { close(12, first, usage(listOf(10L to 5L))) }
    }

    @Test
    fun `an object is deleted only when its process has ended and all its usage is in the figures of every shard`() {
        val live = usage(listOf(10L to 5L))
        val ended = live.copy(ended = true)
        val included = listOf(close(10, null, live))
        val later = UsagePruning.DEAD_AFTER_MS + 1
        assertTrue(UsagePruning.isDeletable(ended, included, 1, now = 0))
        assertTrue(UsagePruning.isDeletable(live, included, 1, now = later))
        assertFalse(UsagePruning.isDeletable(live, included, 1, now = 0))
        assertFalse(UsagePruning.isDeletable(ended, listOf(close(9, null, live)), 1, now = 0))
        assertFalse(UsagePruning.isDeletable(ended, included, 2, now = 0))
    }

    @Test
    fun `a clock that goes back does not reopen a window`() {
        val counts =
            OrganisationUsage()
                .add(
                    UsageWindow(10),
                    UsageTotals(0, 5, 1),
                ).add(UsageWindow(9), UsageTotals(0, 2, 1))
        assertEquals(7, counts.amountIn(UsageWindow(10)).generatedTokens)
        assertEquals(UsageTotals.ZERO, counts.totalThrough(UsageWindow(9)))
    }

    private fun close(
        window: Long,
        previous: ClosedWindow?,
        vararg usages: VmUsage,
    ) = WindowClose(shard = 0, shards = 1, UsageWindow(window), previous).close(usages.toList())

    private fun usage(amounts: List<Pair<Long, Long>>): VmUsage {
        val counts =
            amounts.fold(OrganisationUsage()) { counts, (window, tokens) ->
                counts.add(UsageWindow(window), UsageTotals(0, tokens, 1))
            }
        val usageByOrganisation = if (amounts.isEmpty()) emptyMap() else mapOf(organisation to counts)
        return VmUsage(VmId("vm"), Incarnation(1), writtenAt = 0, organisations = usageByOrganisation)
    }
}
