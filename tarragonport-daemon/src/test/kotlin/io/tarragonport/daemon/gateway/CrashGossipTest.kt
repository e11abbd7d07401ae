package io.tarragonport.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.gateway.CallerMetadata
import io.tarragonport.api.gateway.PromptPart
import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.SuccessRecord
import io.tarragonport.daemon.gateway.control.CrashGossip
import io.tarragonport.daemon.gateway.exchange.CrashFingerprints
import io.tarragonport.daemon.gateway.exchange.CrashGuard
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private const val BAD = "crashing"
private const val SERVERS = 40
private const val STEP_MS = 10
private const val DURATION_MS = 20_000
private const val STABLE_MS = 3_000
private const val BAD_PER_SECOND = 4.5
private const val LOST_PERCENT = 5

/** Crashes after which a part is blocked; the rules count from the fifth. */
private const val FIRST_CRASHES = 3

/** Guards against requests with a prompt part that crashes servers, each at another VM of a large fleet. */
class CrashGossipTest {
    private data class Case(
        val vms: Int,
        val soundPerSecond: Int,
        val seed: Int,
    )

    private val cases =
        (1..4).flatMap { seed -> listOf(Case(87, 60, seed), Case(87, 8, seed), Case(3, 30, seed)) }

    @Test
    fun `after three crashes a prompt part reaches no more servers and sound requests are served`() =
        cases.forEach { case ->
            val fleet = SimulatedFleet(case.vms, case.soundPerSecond, Random(case.seed)).apply { run() }
            val crashes = fleet.crashes
            assertTrue(crashes.size >= FIRST_CRASHES, "$case: $crashes")
            assertTrue(crashes.count { it > crashes[FIRST_CRASHES - 1] + STABLE_MS } <= 3, "$case: crashes at $crashes")
            assertEquals(0, fleet.blockedSound, "$case: crashes at $crashes")
            assertTrue(fleet.messagesPerSecond < 10, "$case: ${fleet.messagesPerSecond} messages a second from each VM")
        }

    /** Pattern: a VM that holds three crashes of a sound part, and lost the message that it had succeeded elsewhere. */
    @Test
    fun `successes are repeated for VMs that have missed them`() {
        val clock = TestTimeSource()
        val sent = mutableListOf<PeerMessage>()
        val gossip = CrashGossip({ 1.seconds }, clock, { emptyList() }) { _, message -> sent += message }
        gossip.passOn(PeerMessage.GatewayCrashes(emptyList(), listOf(SuccessRecord("part"))))
        gossip.spreadOnce()
        listOf(5.seconds to listOf(5_000L), 6.seconds to emptyList()).forEach { (elapsed, ages) ->
            sent.clear()
            clock += elapsed
            gossip.repeatOnce()
            val repeated = ages.map { PeerMessage.GatewayCrashes(emptyList(), listOf(SuccessRecord("part", it))) }
            assertEquals<List<PeerMessage>>(repeated, sent)
        }
    }
}

/** VMs with requests in flight, in virtual time; messages between them are delayed and lost. */
private class SimulatedFleet(
    size: Int,
    private val soundPerSecond: Int,
    private val random: Random,
) {
    private inner class Vm {
        val guard: CrashGuard = CrashGuard(clock, random) { gossip.passOn(it) }
        val gossip: CrashGossip = CrashGossip({ 1_250.milliseconds }, clock, { guard.recentCrashes }, ::sendToRandom)
    }

    private class Running(
        val vm: Vm,
        val fingerprints: CrashFingerprints,
        val server: Int,
        val end: Int,
    )

    private class Message(
        val receiver: Vm,
        val bytes: ByteArray,
        val arrival: Int,
    )

    private val clock = TestTimeSource()
    private val vms = List(size) { Vm() }
    private val messages = mutableListOf<Message>()
    private val running = mutableListOf<Running>()
    val crashes = mutableListOf<Int>()

    /** Sound requests blocked later than permitted. */
    var blockedSound = 0
        private set
    val messagesPerSecond: Long get() = sentMessages * 1_000L / vms.size / now
    private var sentMessages = 0
    private var now = 0

    private fun sendToRandom(
        count: Int,
        message: PeerMessage,
    ) = repeat(count) {
        sentMessages++
        val bytes = PeerCodec.encode(PeerEnvelope(VmId("vm"), Incarnation(1), message))
        assertTrue(bytes.size < 16_384, "${bytes.size} bytes")
        if (random.nextInt(100) >= LOST_PERCENT) {
            messages += Message(vms.random(random), bytes, now + random.nextInt(5, 150))
        }
    }

    /** A request with the first part and key of all others, and a part that some others have. */
    private fun request(part: String): CrashFingerprints {
        val parts = listOf("first", part, "last-${random.nextLong()}").map { PromptPart(it, 100) }
        val metadata = CallerMetadata(null, "key", null, PromptShape("model", 300, 10, parts), null)
        val body = Unpooled.wrappedBuffer(random.nextBytes(8))
        val request =
            CallerRequest(HttpMethod.POST, "/chat/", "host", DefaultHttpHeaders(), body, metadata, clock.markNow())
        return CrashFingerprints(request)
    }

    /** Sends a request with [part] to a random VM; returns whether it was blocked. */
    private fun arrive(part: String): Boolean {
        val vm = vms.random(random)
        val fingerprints = request(part)
        if (vm.guard.blocking(fingerprints) != null) return true
        running += Running(vm, fingerprints, random.nextInt(SERVERS), now + random.nextInt(300, 3_000))
        if (part == BAD) crash(running.last().server)
        return false
    }

    private fun crash(server: Int) {
        crashes += now
        val lost = running.filter { it.server == server }
        running -= lost.toSet()
        lost.forEach { it.vm.guard.crashed(it.fingerprints.all, BackendServerId("s$server")) }
    }

    private fun step() {
        clock += STEP_MS.milliseconds
        now += STEP_MS
        val due = messages.filter { it.arrival <= now }
        messages -= due.toSet()
        due.forEach { message ->
            val content = PeerCodec.decode(message.bytes).getOrNull()?.message
            message.receiver.guard.receive(content as PeerMessage.GatewayCrashes)
        }
        val ended = running.filter { it.end <= now }
        running -= ended.toSet()
        ended.forEach { it.vm.guard.succeeded(it.fingerprints) }
        if (now % 50 == 0) vms.forEach { it.gossip.spreadOnce() }
        if (now % 1_250 == 0) vms.forEach { it.gossip.repeatOnce() }
    }

    fun run() {
        while (now < DURATION_MS) {
            step()
            val settled = crashes.size >= FIRST_CRASHES && now > crashes[FIRST_CRASHES - 1] + 2 * STABLE_MS
            if (random.nextInt(1_000) < soundPerSecond * STEP_MS) {
                val blocked = arrive("part-${random.nextInt(20)}")
                if (blocked && settled) blockedSound++
            }
            if (now > 2_000 && random.nextInt(1_000) < BAD_PER_SECOND * STEP_MS) arrive(BAD)
        }
    }
}
