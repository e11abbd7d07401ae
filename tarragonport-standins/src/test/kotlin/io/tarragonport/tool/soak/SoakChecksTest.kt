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

/** Guards against a soak that finds nothing because its checks do not see a breach. */
class SoakChecksTest {
    private class Case(
        val name: String,
        val breached: (SoakInvariants) -> InvariantCount?,
        val happens: Scene.() -> Unit,
    )

    /** One request of one caller, a server that may run it, and what the ledger is told of both. */
    private class Scene : AutoCloseable {
        val invariants = SoakInvariants()
        val store = DisturbanceLog()
        val ledger = RunLedger(invariants, store)
        val key = SoakKey("key", "one")
        val link = LoopbackLink(targetPort = 1)
        val vm = VmProcess("vm", callerPort = 1, link, File("unused"), File("unused"), emptyList())
        val server = SoakServer("server", FleetSamples.PLAIN, ledger, Random(1))

        fun sent(kind: RequestKind = RequestKind.POST): SoakRequest =
            SoakRequest("id", kind, kind.path + "x", "body", key, PATIENCE_MS, vm, RunLedger.now()).also(ledger::sent)

        fun runs(
            target: String = "/post/x",
            body: String = "body",
            changed: Map<String, String> = emptyMap(),
        ) {
            val headers =
                mapOf(
                    WireHeaders.REQUEST_ID to "id",
                    WireHeaders.TIME_LEFT to "$PATIENCE_MS",
                    WireHeaders.ORGANISATION to "one",
                ) + changed
            val lowerCase = headers.mapKeys { it.key.lowercase() }
            ledger.began(ReceivedCall("POST", target, lowerCase, body.toByteArray(), 1), server)
        }

        override fun close() {
            server.close()
            link.close()
        }
    }

    private val scenes = mutableListOf<Scene>()

    private val cases =
        listOf(
            Case("a proper run", { null }) {
                sent()
                runs()
            },
            Case("a second run of what may run once", { it.atMostOnce }) {
                sent()
                runs()
                runs()
            },
            Case("a second run of what may be repeated", { null }) {
                sent(RequestKind.RESUMABLE)
                repeat(2) { runs(target = "/resume/x") }
            },
            Case("a run after a refusal", { it.trueRefusal }) {
                ledger.refused(sent())
                runs()
            },
            Case("a refusal after a run", { it.trueRefusal }) {
                val request = sent()
                runs()
                ledger.refused(request)
            },
            Case("a request that nobody sent", { it.unchanged }) { runs() },
            Case("another target", { it.unchanged }) {
                sent()
                runs(target = "/post/y")
            },
            Case("another body", { it.unchanged }) {
                sent()
                runs(body = "other")
            },
            Case("more time than the caller waits", { it.unchanged }) {
                sent()
                runs(changed = mapOf(WireHeaders.TIME_LEFT to "${PATIENCE_MS * 2}"))
            },
            Case("a key at a server", { it.organisation }) {
                sent()
                runs(changed = mapOf(WireHeaders.KEY to "key"))
            },
            Case("the organisation that the caller named", { it.organisation }) {
                sent()
                runs(changed = mapOf(WireHeaders.ORGANISATION to "forged"))
            },
            Case("a run with a key withdrawn long ago", { it.revoked }) {
                key.revokedAt = RunLedger.now() - 10.seconds
                sent()
                runs()
            },
            Case("the same while the store was away", { null }) {
                key.revokedAt = RunLedger.now() - 10.seconds
                store.begin("away")
                sent()
                runs()
            },
            Case("a run at a server that left long ago", { it.leaving }) {
                server.leavingSince = RunLedger.now() - 10.seconds
                sent()
                runs()
            },
            Case("a run for a caller that left long ago", { it.gone }) {
                sent().leftAt = RunLedger.now() - 10.seconds
                runs()
            },
        )

    private val dutyCases =
        listOf(
            "one holder after the other" to listOf(usage(1, "a", 5), usage(2, "b", 6)),
            "an exact repeat" to listOf(usage(1, "a", 5), usage(2, "b", 5)),
        )

    private val dutyBreaches =
        listOf<Triple<String, List<DutyCall>, (SoakInvariants) -> InvariantCount>>(
            Triple("two figures for a window", listOf(usage(1, "a", 5), usage(1, "a", 5, requests = 8))) { it.usage },
            Triple("a number that falls", listOf(usage(2, "b", 5), usage(1, "a", 6))) { it.fencing },
            Triple("a number of two holders", listOf(usage(1, "a", 5), usage(1, "b", 6))) { it.fencing },
        )

    private fun usage(
        fencing: Long,
        holder: String,
        window: Int,
        requests: Int = 7,
    ) = DutyCall("/usage", holder, fencing, """{"window":$window,"counts":{"one":$requests}}""")

    private fun breached(invariants: SoakInvariants): List<InvariantCount> = invariants.all.filter { it.breaches > 0 }

    @AfterTest
    fun close() = scenes.forEach { it.close() }

    @Test
    fun `each breach at a server is seen, and nothing else`() =
        cases.forEach { case ->
            val scene = Scene().also { scenes += it }
            case.happens(scene)
            assertEquals(listOfNotNull(case.breached(scene.invariants)), breached(scene.invariants), case.name)
        }

    @Test
    fun `each breach of a duty is seen, and nothing else`() {
        dutyCases.forEach { (name, calls) ->
            val invariants = SoakInvariants().also { DutyCheck(it).check(calls) }
            assertEquals(emptyList(), breached(invariants), name)
        }
        dutyBreaches.forEach { (name, calls, expected) ->
            val invariants = SoakInvariants().also { DutyCheck(it).check(calls) }
            assertEquals(listOf(expected(invariants)), breached(invariants), name)
        }
    }

    private companion object {
        const val PATIENCE_MS = 2_500L
    }
}
