package io.tarragonport.core.admission.baseline

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.admission.DispatchPolicy
import io.tarragonport.core.admission.Requests
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards the admission rules that make the baselines comparable with the daemon's dispatch policy. */
class BaselineDispatchTest {
    private val clock = TestTimeSource()
    private val baselines: Map<String, (TestTimeSource, Int) -> DispatchPolicy> =
        mapOf(
            "first-come" to { clock, bound -> FirstComeDispatch(clock, bound) },
            "round-robin" to { clock, bound -> RoundRobinDispatch(clock, bound) },
            "least-outstanding" to { clock, bound -> LeastOutstandingDispatch(clock, bound) },
        )

    private fun forEachBaseline(check: (DispatchPolicy) -> Unit): List<DynamicTest> =
        baselines.map { (name, create) -> DynamicTest.dynamicTest(name) { check(create(clock, 2)) } }

    private fun List<DispatchDecision>.starts() =
        filterIsInstance<DispatchDecision.Start>().map { it.request.value to it.server.value }

    private fun List<DispatchDecision>.refusals() =
        filterIsInstance<DispatchDecision.Refuse>().map { it.request.value to it.error.kind }

    @TestFactory
    fun `waiting requests start in order of arrival and the queue is bounded`() =
        forEachBaseline { policy ->
            policy.serversChanged(Requests.servers(1), liveVms = Requests.vms(1))
            val decisions = (1..4).flatMap { policy.submit(Requests.request("r$it", clock.markNow())) }
            assertEquals(listOf("r1" to "s1"), decisions.starts())
            assertEquals(listOf("r4" to ErrorKind.OVERLOADED), decisions.refusals())
            val next = policy.finished(RequestId("r1"), DispatchOutcome.COMPLETED, 5)
            assertEquals(listOf("r2" to "s1"), next.starts())
        }

    @TestFactory
    fun `a waiting request is refused as not run once its deadline has passed`() =
        forEachBaseline { policy ->
            policy.serversChanged(Requests.servers(1), liveVms = Requests.vms(1))
            policy.submit(Requests.request("r1", clock.markNow()))
            policy.submit(Requests.request("r2", clock.markNow()))
            clock += 11.seconds
            val decision = policy.tick().single() as DispatchDecision.Refuse
            assertEquals(ErrorKind.DEADLINE_UNREACHABLE, decision.error.kind)
            assertEquals(ExecutionStatus.NO, decision.error.executionStatus)
        }

    @TestFactory
    fun `a request that failed on another server is not refused as not run`() =
        forEachBaseline { policy ->
            val request =
                Requests.request("r1", clock.markNow(), deadlineMs = 0, failedServers = setOf(BackendServerId("s1")))
            assertEquals(
                ExecutionStatus.UNKNOWN,
                (policy.submit(request).single() as DispatchDecision.Refuse).error.executionStatus,
            )
        }

    @TestFactory
    fun `no request starts on a leaving server or on one to avoid`() =
        forEachBaseline { policy ->
            policy.serversChanged(
                listOf(Requests.server("s1"), Requests.server("s2", leaving = true)),
                liveVms = Requests.vms(7),
            )
            val avoiding = Requests.request("r1", clock.markNow(), failedServers = setOf(BackendServerId("s1")))
            assertEquals(emptyList(), policy.submit(avoiding))
            assertEquals(listOf("r2" to "s1"), policy.submit(Requests.request("r2", clock.markNow())).starts())
            val decisions = policy.serversChanged(Requests.servers(2), liveVms = Requests.vms(7))
            assertEquals(listOf("r1" to "s2"), decisions.starts())
        }

    @Test
    fun `each baseline chooses servers by its rule`() {
        val expected =
            mapOf(
                "first-come" to listOf("s1", "s1", "s2"),
                "round-robin" to listOf("s1", "s2", "s1"),
                "least-outstanding" to listOf("s1", "s2", "s1"),
            )
        baselines.forEach { (name, create) ->
            val policy = create(clock, 2)
            policy.serversChanged(Requests.servers(2, slots = 2), liveVms = Requests.vms(1))
            val chosen = (1..3).flatMap { policy.submit(Requests.request("r$it", clock.markNow())).starts() }
            assertEquals(expected[name], chosen.map { it.second }, name)
        }
    }
}
