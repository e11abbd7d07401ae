package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.SuccessRecord
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Distributes crashes of backend servers, and successes of requests that were in flight at them, among the VMs.
 *
 * What this VM has just learnt goes to [GatewayPeers.SPREAD_FANOUT] random VMs, each of which does the same, so that all
 * know it within a second. The crashes of fingerprints with several of them, and recent successes, are repeated to
 * [GatewayPeers.FANOUT] random VMs at each [interval], for VMs that have missed them or have started since: a VM that
 * misses a success would go on blocking sound requests, and would have no success of its own.
 */
internal class CrashGossip(
    private val interval: () -> Duration,
    private val clock: TimeSource.WithComparableMarks,
    private val recentCrashes: () -> List<CrashRecord>,
    private val sendToRandom: (count: Int, PeerMessage) -> Unit,
) {
    private val unsentCrashes = ArrayDeque<CrashRecord>()
    private val unsentSuccesses = ArrayDeque<SuccessRecord>()
    private val recentSuccesses = LinkedHashMap<String, ComparableTimeMark>()
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Passes [news] on to other VMs with the next round of [spread]. */
    fun passOn(news: PeerMessage.GatewayCrashes) {
        unsentCrashes += news.crashes
        unsentSuccesses += news.successes
        news.successes.forEach { recentSuccesses[it.fingerprint] = clock.markNow() - it.ageMs.milliseconds }
        while (unsentCrashes.size > MAXIMUM_UNSENT) unsentCrashes.removeFirst()
        while (unsentSuccesses.size > MAXIMUM_UNSENT) unsentSuccesses.removeFirst()
        signal.trySend(Unit)
    }

    /** Passes news on until cancelled. */
    suspend fun spread() {
        for (round in signal) {
            delay(SPREAD_DELAY)
            spreadOnce()
        }
    }

    /** Sends the oldest unsent news, at most [MAXIMUM_RECORDS] of each kind; the next round sends the rest. */
    fun spreadOnce() {
        val crashes = takeOldest(unsentCrashes)
        val successes = takeOldest(unsentSuccesses)
        if (crashes.isEmpty() && successes.isEmpty()) return
        sendToRandom(GatewayPeers.SPREAD_FANOUT, PeerMessage.GatewayCrashes(crashes, successes))
        if (unsentCrashes.isNotEmpty() || unsentSuccesses.isNotEmpty()) signal.trySend(Unit)
    }

    /** Repeats recent crashes until cancelled. */
    suspend fun repeat() {
        while (true) {
            repeatOnce()
            delay(interval())
        }
    }

    /** Sends the crashes of fingerprints with several of them, and the successes of the last [REPEAT_PERIOD]. */
    fun repeatOnce() {
        val byFingerprint = recentCrashes().groupBy { it.fingerprint }
        val crashes = byFingerprint.values.filter { it.size > 1 }.flatten()
        recentSuccesses.values.removeIf { it.elapsedNow() > REPEAT_PERIOD }
        val successes =
            recentSuccesses.entries
                .take(MAXIMUM_RECORDS)
                .map { (fingerprint, time) -> SuccessRecord(fingerprint, time.elapsedNow().inWholeMilliseconds) }
        if (crashes.isEmpty() && successes.isEmpty()) return
        sendToRandom(GatewayPeers.FANOUT, PeerMessage.GatewayCrashes(crashes, successes))
    }

    private fun <T> takeOldest(records: ArrayDeque<T>): List<T> =
        List(minOf(records.size, MAXIMUM_RECORDS)) { records.removeFirst() }

    private companion object {
        const val MAXIMUM_RECORDS = 64
        const val MAXIMUM_UNSENT = 512

        /** The VMs with requests on a crashed server notice its crash within some tens of milliseconds of each other. */
        val SPREAD_DELAY: Duration = 50.milliseconds

        /** Several rounds of repeats, each of which reaches every VM twice on average. */
        val REPEAT_PERIOD: Duration = 10.seconds
    }
}
