package io.tarragonport.core.admission

import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.health.CrashHistory
import org.apache.commons.math3.random.Well19937c
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards the order of starts, refusals, sheds and preemptions of [TieredDispatch]. */
class TieredDispatchTest {
    private val clock = TestTimeSource()
    private val crashes = CrashHistory(clock)
    private var requestCount = 0

    private fun policy(
        servers: Int = 1,
        slots: Int = 1,
        queueBound: Int = 200,
    ): TieredDispatch {
        val settings = DispatchSettings(queueBound)
        val policy = TieredDispatch(VmId("vm-1"), clock, Well19937c(1), crashes, settings = settings)
        policy.serversChanged(Requests.servers(servers, slots), liveVms = Requests.vms(1))
        return policy
    }

    private fun TieredDispatch.send(
        requestClass: RequestClass,
        organisation: String = "o1",
        id: String = "r${++requestCount}",
        weight: Int = 1,
    ) = submit(Requests.request(id, clock.markNow(), requestClass, organisation, weight = weight))

    private fun List<DispatchDecision>.starts() = filterIsInstance<DispatchDecision.Start>().map { it.request.value }

    private fun List<DispatchDecision>.refused() =
        filterIsInstance<DispatchDecision.Refuse>().map { it.request.value to it.error.kind }

    /** Ends [first] and then each started request in turn; returns the order of starts. */
    private fun TieredDispatch.drain(
        first: String,
        count: Int,
    ): List<String> {
        val order = mutableListOf<String>()
        var running = first
        repeat(count) {
            clock += 10.milliseconds
            running =
                finished(RequestId(running), DispatchOutcome.COMPLETED, 100).starts().singleOrNull() ?: return order
            order += running
        }
        return order
    }

    @Test
    fun `starts by tier and within a class by start deadline`() {
        val policy = policy()
        policy.send(Requests.chat, id = "running")
        policy.send(Requests.review, id = "review")
        policy.send(Requests.takeoff, id = "takeoff")
        policy.submit(Requests.request("later", clock.markNow() + 100.milliseconds))
        policy.send(Requests.chat, id = "chat")
        assertEquals(listOf("chat", "later", "takeoff", "review"), policy.drain("running", 9))
    }

    @Test
    fun `a class below its floor gets one of twenty starts during a lasting burst`() {
        val policy = policy()
        policy.send(Requests.chat, id = "running")
        repeat(3) { policy.send(Requests.review, id = "review-$it") }
        var running = "running"
        val order = mutableListOf<String>()
        repeat(60) {
            policy.send(Requests.chat)
            clock += 10.milliseconds
            running = policy.finished(RequestId(running), DispatchOutcome.COMPLETED, 10).starts().single()
            order += running
        }
        assertEquals(3, order.count { it.startsWith("review") })
        assertTrue(order.take(20).any { it.startsWith("review") })
    }

    @Test
    fun `organisations share a class by weight, regardless of the number of waiting requests`() {
        val policy = policy()
        policy.send(Requests.review, "large", id = "large-running")
        repeat(40) { policy.send(Requests.review, "large", id = "large-$it") }
        repeat(10) { policy.send(Requests.review, "small", id = "small-$it") }
        repeat(20) { policy.send(Requests.review, "double", id = "double-$it", weight = 2) }
        val order = listOf("large-running") + policy.drain("large-running", 16)
        val byOrganisation = order.groupingBy { it.substringBefore('-') }.eachCount()
        assertEquals(mapOf("large" to 4, "double" to 9, "small" to 4), byOrganisation)
    }

    @Test
    fun `a full queue sheds a request of the lowest tier and of the organisation most over its share`() {
        val policy = policy(queueBound = 3)
        policy.send(Requests.chat, id = "running")
        policy.send(Requests.review, "small", id = "small-0")
        policy.send(Requests.review, "large", id = "large-0")
        policy.send(Requests.review, "large", id = "large-1")
        assertEquals(listOf("large-1" to ErrorKind.OVERLOADED), policy.send(Requests.chat, id = "c0").refused())
        val next = (1..4).flatMap { policy.send(Requests.chat, id = "c$it").refused() }.map { it.first }
        assertEquals(setOf("large-0", "small-0"), next.take(2).toSet())
        assertTrue(next.drop(2).all { it.startsWith("c") })
    }

    @Test
    fun `an arrival of the lowest tier is refused as not run if only higher tiers wait`() {
        val policy = policy(queueBound = 1)
        policy.send(Requests.chat)
        policy.send(Requests.chat)
        val decision = policy.send(Requests.review, id = "review").single() as DispatchDecision.Refuse
        assertEquals("review", decision.request.value)
        assertEquals(ExecutionStatus.NO, decision.error.executionStatus)
    }

    @Test
    fun `shedding or preempting a higher tier for a lower one fails the invariant check`() {
        assertFailsWith<IllegalStateException> { TierInvariant.checkShed(1, 3, emptyMap()) }
        assertFailsWith<IllegalStateException> { TierInvariant.checkShed(2, 1, mapOf(2 to 1, 3 to 1)) }
        assertFailsWith<IllegalStateException> { TierInvariant.checkPreemption(1, 1, listOf(1)) }
        assertFailsWith<IllegalStateException> { TierInvariant.checkPreemption(3, 1, listOf(3, 4)) }
    }

    @Test
    fun `a request that cannot meet its deadline is refused before it is sent`() {
        val policy = policy()
        (1..10).forEach { number ->
            policy.send(Requests.review, id = "learned-$number")
            policy.finished(RequestId("learned-$number"), DispatchOutcome.COMPLETED, 1_000)
        }
        val unreachable = Requests.request("r1", clock.markNow(), Requests.review, deadlineMs = 5_000)
        assertEquals(listOf("r1" to ErrorKind.DEADLINE_UNREACHABLE), policy.submit(unreachable).refused())
        policy.send(Requests.chat, id = "running")
        policy.send(Requests.chat, id = "waiting")
        clock += 10.seconds
        assertEquals(listOf("waiting" to ErrorKind.DEADLINE_UNREACHABLE), policy.tick().refused())
    }

    @Test
    fun `a chat that missed its target is refused only if others of its class can still meet theirs`() {
        val policy = policy()
        policy.send(Requests.chat, id = "running")
        policy.send(Requests.chat, id = "late")
        clock += 2.seconds
        assertEquals(emptyList(), policy.tick().refused())
        assertEquals(listOf("late" to ErrorKind.DEADLINE_UNREACHABLE), policy.send(Requests.chat, id = "new").refused())
    }

    @Test
    fun `the resumable stream of the lowest tier is preempted for a chat that would miss its target`() {
        val policy = policy(servers = 2, slots = 2)
        policy.send(Requests.takeoff, id = "takeoff")
        policy.send(Requests.review, id = "review")
        repeat(2) { policy.send(Requests.chat, id = "running-$it") }
        repeat(4) { policy.send(Requests.chat) }
        policy.send(Requests.chat, id = "urgent")
        clock += 1_100.milliseconds
        val preempted = policy.tick().filterIsInstance<DispatchDecision.Preempt>()
        assertEquals("review", preempted.first().request.value)
        assertTrue(preempted.none { it.request.value.startsWith("running") })
    }

    @Test
    fun `of two streams at one server the one of the lower tier is preempted`() {
        val policy = policy(slots = 4)
        val streams = listOf(Requests.takeoff to "takeoff", Requests.review to "review", Requests.chat to "chat")
        streams.forEach { (requestClass, id) -> policy.send(requestClass, id = id) }
        clock += 1.milliseconds
        streams.forEach { (_, id) -> policy.progressed(RequestId(id), 1) }
        policy.send(Requests.chat, id = "stuck")
        clock += 400.milliseconds
        val preempted = policy.tick().filterIsInstance<DispatchDecision.Preempt>()
        assertEquals(listOf("review"), preempted.map { it.request.value })
    }

    @Test
    fun `a preempted stream continues before new requests of its class`() {
        val policy = policy()
        policy.send(Requests.chat, id = "running")
        policy.send(Requests.review, id = "fresh")
        clock += 1.seconds
        policy.submit(Requests.request("paused", clock.markNow(), Requests.review, resumedTokens = 200))
        assertEquals(listOf("paused", "fresh"), policy.drain("running", 2))
    }

    @Test
    fun `a long request in an engine's queue is cancelled once it can no longer meet its deadline`() {
        val policy = policy(slots = 4)
        policy.submit(Requests.request("review", clock.markNow(), Requests.review, deadlineMs = 60_000))
        clock += 59.seconds
        assertEquals(emptyList(), policy.tick())
        clock += 999.milliseconds
        val cancelled = policy.tick().filterIsInstance<DispatchDecision.Preempt>().single()
        assertEquals(cancelled.request, cancelled.beneficiary)
        val late = Requests.request("review", clock.markNow(), Requests.review, deadlineMs = 1)
        policy.finished(RequestId("review"), DispatchOutcome.CANCELLED, 0)
        val decision = policy.submit(late).single() as DispatchDecision.Refuse
        assertEquals(ExecutionStatus.UNKNOWN, decision.error.executionStatus)
    }

    @Test
    fun `long requests leave slots free for short ones`() {
        val policy = policy(servers = 2, slots = 8)
        val started = (1..16).flatMap { policy.send(Requests.review).starts() }
        assertTrue(started.size <= 12, "${started.size} reviews occupy slots")
        assertEquals(1, policy.send(Requests.requestClass("lookup", 2, 3_000, 1_000)).starts().size)
    }

    @Test
    fun `a request whose fingerprint becomes blocked while it waits never starts`() {
        val policy = policy()
        policy.send(Requests.chat, id = "running")
        policy.submit(Requests.request("held", clock.markNow(), fingerprint = "f"))
        listOf("x", "y").forEach { crashes.record("f", BackendServerId(it)) }
        val decisions = policy.finished(RequestId("running"), DispatchOutcome.COMPLETED, 10)
        assertEquals(listOf("held" to ErrorKind.REQUEST_HELD), decisions.refused())
    }

    @Test
    fun `a request is refused as blocked after the second crash in the fleet until its fingerprint expires`() {
        val policy = policy(servers = 4, slots = 4)
        val poison = { id: String -> Requests.request(id, clock.markNow(), fingerprint = "poison") }
        policy.submit(poison("p1"))
        policy.finished(RequestId("p1"), DispatchOutcome.FAILED, 0)
        val peer = CrashHistory(clock)
        peer.record("poison", BackendServerId("elsewhere"))
        crashes.merge(peer.records())
        assertEquals(listOf("p2" to ErrorKind.REQUEST_HELD), policy.submit(poison("p2")).refused())
        clock += 10.minutes
        assertEquals(listOf("p3"), policy.submit(poison("p3")).starts())
    }

    @Test
    fun `two suspects do not run on the same server`() {
        val policy = policy(servers = 1, slots = 8)
        crashes.record("a", BackendServerId("x"))
        crashes.record("b", BackendServerId("x"))
        val submit = { id: String -> policy.submit(Requests.request(id, clock.markNow(), fingerprint = id)).starts() }
        assertEquals(listOf("a"), submit("a"))
        assertEquals(emptyList(), submit("b"))
        assertEquals(listOf("c"), submit("c"))
        assertEquals(listOf("b"), policy.finished(RequestId("a"), DispatchOutcome.COMPLETED, 5).starts())
    }

    @Test
    fun `seven VMs with the same stale reports do not choose the same server`() {
        val chosen =
            (1..7).map { vm ->
                val policy = TieredDispatch(VmId("vm-$vm"), clock, Well19937c(vm.toLong()))
                policy.serversChanged(Requests.servers(8, slots = 8), liveVms = Requests.vms(7))
                (1..8).forEach {
                    policy.loadReported(
                        LoadReport(
                            BackendServerId("s$it"),
                            4_000,
                            if (it <
                                5
                            ) {
                                0
                            } else {
                                7
                            },
                            0,
                        ),
                    )
                }
                val decision = policy.submit(Requests.request("r", clock.markNow())).single() as DispatchDecision.Start
                decision.server.value
            }
        assertTrue(chosen.all { it in setOf("s1", "s2", "s3", "s4") })
        assertTrue(
            chosen
                .groupingBy { it }
                .eachCount()
                .values
                .max() <= 4,
            "$chosen",
        )
    }
}
