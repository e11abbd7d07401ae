package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.SuccessRecord
import io.tarragonport.core.health.CrashHistory
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Blocks requests that repeatedly crash the servers that run them, to protect further servers.
 *
 * What crashes servers can be one part of a prompt, in requests that differ otherwise and reach any VM, or a request
 * that its caller repeats. All requests in flight on a crashed server are suspect, with all their parts; sound ones are
 * told from the others by their successes. The VMs share what they learn through [sharing] at once, and through their
 * VM records. A single lost response looks like a crash, so a request is blocked only after [BLOCK_THRESHOLD] crashes.
 * Used by the traffic thread only, except [recentCrashes].
 */
internal class CrashGuard(
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random = Random.Default,
    private val sharing: CrashSharing,
) {
    private val crashHistory = CrashHistory(clock, BLOCK_THRESHOLD, SAME_CRASH_WINDOW)

    @Volatile
    private var recorded = RecordedCrashes(emptyList(), clock.markNow())

    /**
     * The recorded crashes with their present ages, for the VM record; those of the most frequent fingerprints come
     * first. Safe to read from any thread.
     */
    val recentCrashes: List<CrashRecord> get() = recorded.aged()

    /** The fingerprint for which a request must not be sent to another server; null if it may be sent. */
    fun blocking(fingerprints: CrashFingerprints): String? =
        if (crashHistory.canBlock) crashHistory.blocking(fingerprints.all) else null

    /**
     * Records that [server] crashed [age] ago while it ran a request with [fingerprints]. A part that succeeds all the
     * time is not recorded, because its next success would discard the record.
     */
    fun crashed(
        fingerprints: List<String>,
        server: BackendServerId,
        age: Duration = Duration.ZERO,
    ) {
        val id = random.nextLong()
        val records =
            fingerprints
                .filter { !crashHistory.hasSucceededWithin(it, RECENT_SUCCESS) }
                .map { CrashRecord(it, server, age.inWholeMilliseconds, id) }
        passOn(PeerMessage.GatewayCrashes(crashHistory.merge(records)))
    }

    /** Records that a request with [fingerprints] was answered completely. */
    fun succeeded(fingerprints: CrashFingerprints) {
        val answered = if (crashHistory.isEmpty) fingerprints.parts else fingerprints.all
        val exonerated = answered.filter { crashHistory.succeeded(it) }
        passOn(PeerMessage.GatewayCrashes(emptyList(), exonerated.map { SuccessRecord(it) }))
    }

    /** Adds what another VM has passed on. */
    fun receive(news: PeerMessage.GatewayCrashes) {
        val exonerated =
            news.successes.filter { crashHistory.succeeded(it.fingerprint, it.ageMs.coerceAtLeast(0).milliseconds) }
        passOn(PeerMessage.GatewayCrashes(crashHistory.merge(news.crashes), exonerated))
    }

    /** Adds crashes from the VM records of other VMs, which are read some time after they were written. */
    fun mergeVmRecords(crashes: List<CrashRecord>) {
        crashHistory.merge(crashes, VM_RECORD_DELAY)
    }

    private fun passOn(news: PeerMessage.GatewayCrashes) {
        if (news.crashes.isEmpty() && news.successes.isEmpty()) return
        recorded = RecordedCrashes(mostFrequent(), clock.markNow())
        sharing.passOn(news)
    }

    private fun mostFrequent(): List<CrashRecord> =
        crashHistory
            .records()
            .groupBy { it.fingerprint }
            .values
            .reversed()
            .sortedByDescending { it.size }
            .flatten()
            .take(MAXIMUM_SHARED_CRASHES)

    /** Crashes with their ages at [readAt]. */
    private class RecordedCrashes(
        private val records: List<CrashRecord>,
        private val readAt: ComparableTimeMark,
    ) {
        fun aged(): List<CrashRecord> {
            val elapsed = readAt.elapsedNow().inWholeMilliseconds
            return records
                .map { it.copy(ageMs = it.ageMs + elapsed) }
                .filter { it.ageMs < CrashHistory.EXPIRY.inWholeMilliseconds }
        }
    }

    companion object {
        /** While a server loses many responses, two attempts of one request can fail by chance. */
        private const val BLOCK_THRESHOLD = 3

        /**
         * Records of one server within this time are the same crash; a crashed server restarts within some seconds and
         * can then crash again.
         */
        private val SAME_CRASH_WINDOW: Duration = 2.seconds
        private val RECENT_SUCCESS: Duration = 2.seconds

        /** Records are written and read every 5 s in a large fleet, from a listing that may be stale. */
        private val VM_RECORD_DELAY: Duration = 15.seconds

        /** Maximum number of crashes in a VM record or message, about 100 bytes each. */
        const val MAXIMUM_SHARED_CRASHES = 64
    }
}
