package io.tarragonport.daemon.lease

import io.tarragonport.api.id.VmId
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against every VM of a large fleet reading the lease, and against a lease without any candidate. */
class LeaseCandidacyTest {
    private class Case(
        val name: String,
        val live: Int,
        val observers: Int,
    )

    private val cases =
        listOf(
            Case("a single VM", live = 1, observers = 1),
            Case("fewer VMs than candidates", live = 3, observers = 3),
            Case("a small deployment", live = 7, observers = 5),
            Case("a large deployment", live = 87, observers = 5),
        )

    private fun candidacy(
        self: VmId,
        live: Collection<VmId>,
    ) = LeaseCandidacy("duties", self, candidates = 5) { live }

    @Test
    fun `few VMs observe a lease, and at least one does`() =
        cases.forEach { case ->
            val live = (1..case.live).map { VmId("vm-$it") }
            assertEquals(case.observers, live.count { candidacy(it, live).eligible() }, case.name)
        }

    @Test
    fun `other VMs become candidates after the loss of all candidates`() {
        val live = (1..87).map { VmId("vm-$it") }
        val (first, rest) = live.partition { candidacy(it, live).eligible() }
        val second = rest.filter { candidacy(it, rest).eligible() }
        assertEquals(5, second.size)
        assertEquals(emptyList(), first.filter { it in second })
    }

    @Test
    fun `a VM without live peers is a candidate`() = assertEquals(true, candidacy(VmId("vm-1"), emptyList()).eligible())
}
