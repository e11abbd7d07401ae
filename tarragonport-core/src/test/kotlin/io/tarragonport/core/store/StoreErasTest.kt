package io.tarragonport.core.store

import io.tarragonport.api.id.StoreEra
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against use of responses from before a restore, and against a restore that goes unnoticed. */
class StoreErasTest {
    private class Case(
        val title: String,
        val responses: List<Long?>,
        val accepted: List<Boolean>,
        val began: List<Long>,
    )

    @Test
    fun `a new era is reported once and responses of earlier ones are refused`() {
        listOf(
            Case("a store without eras", listOf(null, null), listOf(true, true), emptyList()),
            Case("the first era", listOf(1, 1), listOf(true, true), listOf(1)),
            Case("a store that begins to report eras", listOf(null, 4), listOf(true, true), listOf(4)),
            Case("a restore", listOf(1, 2, 2), listOf(true, true, true), listOf(1, 2)),
            Case("a response that was overtaken", listOf(1, 2, 1, 2), listOf(true, true, false, true), listOf(1, 2)),
            Case("several restores at once", listOf(1, 5), listOf(true, true), listOf(1, 5)),
            Case("a response without an era", listOf(2, null, 1), listOf(true, true, false), listOf(2)),
        ).forEach { case ->
            val eras = StoreEras()
            val began = mutableListOf<Long>()
            eras.addListener { began += it.value }
            assertEquals(case.accepted, case.responses.map { eras.accept(it?.let(::StoreEra)) }, case.title)
            assertEquals(case.began, began, case.title)
        }
    }
}
