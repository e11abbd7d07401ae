package io.tarragonport.daemon.intent

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.peer.PeerMessageHandler
import io.tarragonport.daemon.peer.PeerMessenger
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds

/** Guards against granting a claim on the response to another claim, such as one from before a restart of the VM. */
class PeerIntentResponseTest {
    private val owner = VmId("vm-1")
    private val claim = IntentOperation.Claim("digest", "vm-0-2-1", "body", 1_000)

    private class RecordingMessenger : PeerMessenger by PeerMessenger.None {
        val sent = mutableListOf<PeerMessage>()
        lateinit var handler: PeerMessageHandler

        override fun send(
            to: VmId,
            message: PeerMessage,
        ) {
            sent += message
        }

        override fun addHandler(handler: PeerMessageHandler) {
            this.handler = handler
        }
    }

    private object NoFleet : MembershipView {
        override val liveVms = MutableStateFlow(emptyList<LiveVm>())
    }

    private class Case(
        val description: String,
        val from: String,
        val response: PeerMessage,
        val expected: IntentOutcome?,
    )

    private val granted = """{"type":"granted"}"""
    private val cases =
        listOf(
            Case(
                "matching response",
                "vm-1",
                PeerMessage.IntentCommitted(1, "vm-0-2-1", granted),
                IntentOutcome.Granted,
            ),
            Case("no outcome", "vm-1", PeerMessage.IntentCommitted(1, "vm-0-2-1", null), null),
            Case("earlier process", "vm-1", PeerMessage.IntentCommitted(1, "vm-0-1-1", granted), null),
            Case("other sequence", "vm-1", PeerMessage.IntentCommitted(2, "vm-0-2-1", granted), null),
            Case("other VM", "vm-2", PeerMessage.IntentCommitted(1, "vm-0-2-1", granted), null),
            Case("unknown outcome", "vm-1", PeerMessage.IntentCommitted(1, "vm-0-2-1", """{"type":"new"}"""), null),
        )

    @Test
    fun `only the owner's response to this attempt is accepted`() =
        cases.forEach { case ->
            runTest {
                val messenger = RecordingMessenger()
                val forwarding = PeerIntentForwarding(VmId("vm-0"), NoFleet, messenger, backgroundScope, testTimeSource)
                forwarding.serve { null }
                val outcome = async { withTimeoutOrNull(300.milliseconds) { forwarding.commit(owner, claim) } }
                delay(10.milliseconds)
                assertEquals(1, messenger.sent.size, case.description)
                messenger.handler.receive(VmId(case.from), case.response)
                assertEquals(case.expected, outcome.await(), case.description)
            }
        }

    @Test
    fun `without live VMs no bucket has an owner and operations are committed locally`() =
        runTest {
            val forwarding =
                PeerIntentForwarding(
                    VmId("vm-0"),
                    NoFleet,
                    RecordingMessenger(),
                    backgroundScope,
                    testTimeSource,
                )
            assertNull(forwarding.ownerOf(3))
        }
}
