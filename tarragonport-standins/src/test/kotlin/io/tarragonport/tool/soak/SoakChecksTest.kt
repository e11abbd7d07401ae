package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.DutyCall
import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.tool.fault.DisturbanceLog
import io.tarragonport.tool.fault.InvariantCount
import io.tarragonport.tool.fault.LoopbackLink
import io.tarragonport.tool.fault.VmProcess
import io.tarragonport.wire.WireHeaders
import java.io.File
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** A check that misses breaches would let every soak run pass, so each check is run on calls that breach it. */
class SoakChecksTest {
    private class Case(
        val name: String,
        val expectedBreach: (SoakInvariants) -> InvariantCount?,
        val actions: Fixture.() -> Unit,
    )

    /** One request of one caller and a server that may execute it, both recorded in [history]. */
    private class Fixture : AutoCloseable {
        val invariants = SoakInvariants()
        val storeDisturbances = DisturbanceLog()
        val history = RequestHistory(invariants, storeDisturbances)
        val key = SoakKey("key", "one")
        val link = LoopbackLink(targetPort = 1)
        val vm = VmProcess("vm", callerPort = 1, link, File("unused"), File("unused"), emptyList())
        val server = SoakServer("server", FleetSamples.PLAIN, history, Random(1))

        fun recordSent(kind: RequestKind = RequestKind.POST): SoakRequest =
            SoakRequest(
                "id",
                kind,
                kind.path + "x",
                "body",
                key,
                CALLER_TIMEOUT_MS,
                vm,
                RequestHistory.now(),
            ).also(history::recordSent)

        fun recordExecution(
            target: String = "/post/x",
            body: String = "body",
            changedHeaders: Map<String, String> = emptyMap(),
        ) {
            val headers =
                mapOf(
                    WireHeaders.REQUEST_ID to "id",
                    WireHeaders.REMAINING_TIME to "$CALLER_TIMEOUT_MS",
                    WireHeaders.ORGANISATION to "one",
                ) + changedHeaders
            val lowerCase = headers.mapKeys { it.key.lowercase() }
            history.recordExecution(ReceivedCall("POST", target, lowerCase, body.toByteArray(), 1), server)
        }

        override fun close() {
            server.close()
            link.close()
        }
    }

    private val fixtures = mutableListOf<Fixture>()

    private val cases =
        listOf(
            Case("one execution of a valid request", { null }) {
                recordSent()
                recordExecution()
            },
            Case("a second execution of a non-repeatable request", { it.atMostOnce }) {
                recordSent()
                recordExecution()
                recordExecution()
            },
            Case("a second execution of a repeatable request", { null }) {
                recordSent(RequestKind.RESUMABLE)
                repeat(2) { recordExecution(target = "/resume/x") }
            },
            Case("an execution after a response that states no execution", { it.notExecuted }) {
                history.recordRefusal(recordSent())
                recordExecution()
            },
            Case("a response that states no execution after an execution", { it.notExecuted }) {
                val request = recordSent()
                recordExecution()
                history.recordRefusal(request)
            },
            Case("a request that no caller sent", { it.requestUnchanged }) { recordExecution() },
            Case("a different target", { it.requestUnchanged }) {
                recordSent()
                recordExecution(target = "/post/y")
            },
            Case("a different body", { it.requestUnchanged }) {
                recordSent()
                recordExecution(body = "other")
            },
            Case("a remaining time above the caller's timeout", { it.requestUnchanged }) {
                recordSent()
                recordExecution(changedHeaders = mapOf(WireHeaders.REMAINING_TIME to "${CALLER_TIMEOUT_MS * 2}"))
            },
            Case("a key forwarded to a server", { it.organisation }) {
                recordSent()
                recordExecution(changedHeaders = mapOf(WireHeaders.KEY to "key"))
            },
            Case("the organisation forged by the caller", { it.organisation }) {
                recordSent()
                recordExecution(changedHeaders = mapOf(WireHeaders.ORGANISATION to "forged"))
            },
            Case("an execution with a key withdrawn long before", { it.withdrawnKeys }) {
                key.withdrawnAt = RequestHistory.now() - 10.seconds
                recordSent()
                recordExecution()
            },
            Case("an execution with a withdrawn key while the store is unavailable", { null }) {
                key.withdrawnAt = RequestHistory.now() - 10.seconds
                storeDisturbances.begin("away")
                recordSent()
                recordExecution()
            },
            Case("an execution on a server that started draining long before", { it.leaving }) {
                server.leavingSince = RequestHistory.now() - 10.seconds
                recordSent()
                recordExecution()
            },
            Case("an execution for a caller that disconnected long before", { it.disconnected }) {
                recordSent().disconnectedAt = RequestHistory.now() - 10.seconds
                recordExecution()
            },
        )

    private val validDutyCalls =
        listOf(
            "a new holder with a higher fencing token" to listOf(usage(1, "a", 5), usage(2, "b", 6)),
            "the same report repeated by a new holder" to listOf(usage(1, "a", 5), usage(2, "b", 5)),
        )

    private val dutyBreaches =
        listOf<Triple<String, List<DutyCall>, (SoakInvariants) -> InvariantCount>>(
            Triple(
                "two different counts for a window",
                listOf(usage(1, "a", 5), usage(1, "a", 5, requests = 8)),
            ) { it.usage },
            Triple("a lower fencing token than before", listOf(usage(2, "b", 5), usage(1, "a", 6))) { it.fencing },
            Triple("one fencing token used by two holders", listOf(usage(1, "a", 5), usage(1, "b", 6))) { it.fencing },
        )

    private fun usage(
        fencing: Long,
        holder: String,
        window: Int,
        requests: Int = 7,
    ) = DutyCall("/usage", holder, fencing, """{"window":$window,"counts":{"one":$requests}}""")

    private fun breached(invariants: SoakInvariants): List<InvariantCount> = invariants.all.filter { it.breaches > 0 }

    @AfterTest
    fun close() = fixtures.forEach { it.close() }

    @Test
    fun `each breach in a request is detected and no other invariant is breached`() =
        cases.forEach { case ->
            val fixture = Fixture().also { fixtures += it }
            case.actions(fixture)
            assertEquals(
                listOfNotNull(case.expectedBreach(fixture.invariants)),
                breached(fixture.invariants),
                case.name,
            )
        }

    @Test
    fun `each breach in duty calls is detected and no other invariant is breached`() {
        validDutyCalls.forEach { (name, calls) ->
            val invariants = SoakInvariants().also { DutyCheck(it).check(calls) }
            assertEquals(emptyList(), breached(invariants), name)
        }
        dutyBreaches.forEach { (name, calls, expected) ->
            val invariants = SoakInvariants().also { DutyCheck(it).check(calls) }
            assertEquals(listOf(expected(invariants)), breached(invariants), name)
        }
    }

    private companion object {
        const val CALLER_TIMEOUT_MS = 2_500L
    }
}
