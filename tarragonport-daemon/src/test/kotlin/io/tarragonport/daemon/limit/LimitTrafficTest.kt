package io.tarragonport.daemon.limit

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.daemon.caller.RateLimitDecision
import io.tarragonport.daemon.peer.TestFleet
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against incorrect shares caused by the infrequent reports of an organisation far below its limit, and against
 * limit message traffic that grows with the number of organisations.
 */
class LimitTrafficTest {
    private val even = List(7) { 1 }
    private val skewed = listOf(80, 10, 4, 3, 1, 1, 1)
    private val oneVm = listOf(0, 0, 1, 0, 0, 0, 0)

    private suspend fun TestScope.startedFleet(organisations: List<String>): TestFleet {
        val fleet = TestFleet(this)
        val limits = organisations.map { """{"organisation":"$it","requests_per_minute":$LIMIT}""" }
        fleet.store.set(SectionName.ORGANISATIONS.objectName, organisations.map { """{"id":"$it"}""" }.toString())
        fleet.store.set(SectionName.LIMITS.objectName, limits.toString())
        fleet.startAll()
        delay(10.seconds)
        return fleet
    }

    private fun TestFleet.admits(
        organisation: String,
        weights: List<Int>,
        random: Random,
    ): Boolean {
        var remaining = random.nextInt(weights.sum())
        val vm =
            weights.indices.first { index ->
                remaining -= weights[index]
                remaining < 0
            }
        val limits = vms.getValue(names[vm]).limits
        return limits.tryAcquire(OrganisationId(organisation), null, 1) == RateLimitDecision.Granted
    }

    /** Sends [perStep] requests every 50 ms for [duration]; returns how many were admitted. */
    private suspend fun sendRequests(
        duration: Duration,
        perStep: Int,
        admits: () -> Boolean,
    ): Int {
        var admitted = 0
        repeat((duration / STEP).toInt()) {
            repeat(perStep) { if (admits()) admitted += 1 }
            delay(STEP)
        }
        return admitted
    }

    private fun assertWithin(
        admitted: Int,
        expected: Int,
        label: String,
    ) {
        val error = 100.0 * (admitted.toDouble() / expected - 1)
        println("$label: $admitted of $expected, error ${"%.2f".format(error)}%")
        assertTrue(abs(error) <= 5.0, "$label: $admitted of $expected")
    }

    @Test
    fun `an organisation that rises from a tenth of its limit to twice its limit is limited within five percent`() =
        listOf("even" to even, "skewed" to skewed, "all at one VM" to oneVm).forEach { (before, first) ->
            listOf("even" to even, "skewed" to skewed, "all at one VM" to oneVm).forEach { (after, second) ->
                runTest {
                    val fleet = startedFleet(listOf("alder"))
                    val random = Random(7)
                    sendRequests(40.seconds, 1) { fleet.admits("alder", first, random) }
                    val admitted = sendRequests(60.seconds, 20) { fleet.admits("alder", second, random) }
                    assertWithin(admitted, LIMIT, "rise from $before to $after")
                }
            }
        }

    /** 650 organisations are active on every VM: one at twice its limit, the others far below. */
    @Test
    fun `limits are met within the byte budget of limit messages while all organisations are active`() =
        runTest(timeout = 180.seconds) {
            val otherOrganisations = List(649) { "organisation-$it" }
            val fleet = startedFleet(otherOrganisations + "alder")
            val random = Random(8)
            var offered = 0
            var refused = 0
            val traffic = {
                repeat(20) {
                    offered += 1
                    if (!fleet.admits(otherOrganisations.random(random), even, random)) refused += 1
                }
                (1..20).count { fleet.admits("alder", skewed, random) }
            }
            repeat((75.seconds / STEP).toInt()) {
                traffic()
                delay(STEP)
            }
            val bytes = HashMap<String, Int>()
            fleet.network.onSend = { envelope, size ->
                val message = envelope.message
                if (message is PeerMessage.LimitReport || message is PeerMessage.LimitShare) {
                    bytes.merge(envelope.from.value, size + FRAME_BYTES, Int::plus)
                }
            }
            offered = 0
            refused = 0
            var admitted = 0
            repeat((60.seconds / STEP).toInt()) {
                admitted += traffic()
                delay(STEP)
            }
            assertWithin(admitted, LIMIT, "one of 650 organisations at twice its limit")
            println("others: $refused of $offered refused; limit bytes in 60 s $bytes")
            assertTrue(refused * 200 <= offered, "$refused of $offered requests far below the limit were refused")
            assertTrue(bytes.values.max() <= 1_500 * 60, "bytes of limit messages in 60 s: $bytes")
        }

    private companion object {
        val STEP = 50.milliseconds
        const val LIMIT = 12_000
        const val FRAME_BYTES = 4
    }
}
