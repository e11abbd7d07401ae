package io.tarragonport.core.admission

import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import org.apache.commons.math3.random.Well19937c
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards the order in which streams are moved off a reclaimed server, where not all may be moved in time. */
class RelocationOrderTest {
    @Test
    fun `streams are moved by tier, then by remaining tokens`() {
        val clock = TestTimeSource()
        val policy = TieredDispatch(VmId("vm-1"), clock, Well19937c(1))
        val server = Requests.server("s1", slots = 12).copy(cheap = true)
        policy.serversChanged(listOf(server), Requests.vms(1))
        val streams =
            listOf("review" to Requests.review, "nearly-complete" to Requests.takeoff, "begun" to Requests.takeoff) +
                listOf("chat" to Requests.chat, "not-resumable" to Requests.takeoff.copy(resumable = false))
        for ((id, requestClass) in streams) {
            policy.submit(Requests.request(id, clock.markNow(), requestClass))
            clock += 10.milliseconds
            policy.progressed(RequestId(id), if (id == "nearly-complete") 50 else 2)
        }
        val decisions = policy.serversChanged(listOf(server.copy(leaving = true)), Requests.vms(1))
        val moved = decisions.filterIsInstance<DispatchDecision.Preempt>().map { it.request.value }
        assertEquals(listOf("chat", "begun", "nearly-complete", "review"), moved)
    }
}
