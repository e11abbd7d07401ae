package io.tarragonport.core.health

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.peer.CrashRecord
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Fingerprints of requests that were in flight on crashing servers, with the number of crashes across the fleet.
 *
 * A fingerprint is suspect after one crash and blocked after [blockThreshold] crashes: its requests are then refused.
 * It expires ten minutes after its last crash. Messages contain ages rather than times, because clocks of different VMs
 * are not comparable. Records of one server within [sameCrashWindow] of each other count as the same crash, so that a
 * message that is merged twice, or a crash that several VMs observe, counts once.
 */
class CrashHistory(
    private val clock: TimeSource.WithComparableMarks,
    private val blockThreshold: Int = BLOCK_THRESHOLD,
    private val sameCrashWindow: Duration = SAME_CRASH_WINDOW,
) {
    private class Crash(
        val server: BackendServerId,
        val time: ComparableTimeMark,
    )

    private val crashes = LinkedHashMap<String, MutableList<Crash>>()

    /** Records that a request with [fingerprint] was in flight on [server], which crashed now. */
    fun record(
        fingerprint: String,
        server: BackendServerId,
    ) = add(fingerprint, server, Duration.ZERO)

    /** Adds the records of a peer. */
    fun merge(records: List<CrashRecord>) =
        records.forEach { add(it.fingerprint, it.server, it.ageMs.coerceAtLeast(0).milliseconds) }

    /** Whether no crash is recorded. */
    val isEmpty: Boolean get() = crashes.isEmpty()

    fun isSuspect(fingerprint: String): Boolean = count(fingerprint) >= 1

    fun isBlocked(fingerprint: String): Boolean = count(fingerprint) >= blockThreshold

    /** All unexpired records, for peers; the newest fingerprint is last. */
    fun records(): List<CrashRecord> {
        removeExpired()
        return crashes.flatMap { (fingerprint, fingerprintCrashes) ->
            fingerprintCrashes.map { CrashRecord(fingerprint, it.server, it.time.elapsedNow().inWholeMilliseconds) }
        }
    }

    private fun add(
        fingerprint: String,
        server: BackendServerId,
        age: Duration,
    ) {
        if (fingerprint.isEmpty() || age > EXPIRY) return
        val time = clock.markNow() - age
        removeExpired()
        val fingerprintCrashes = crashes.getOrPut(fingerprint) { ArrayList(BLOCK_THRESHOLD) }
        val alreadyRecorded =
            fingerprintCrashes.any { it.server == server && (it.time - time).absoluteValue < sameCrashWindow }
        if (alreadyRecorded || fingerprintCrashes.size >= MAXIMUM_CRASHES) return
        fingerprintCrashes += Crash(server, time)
        if (crashes.size > MAXIMUM_FINGERPRINTS) crashes.remove(crashes.keys.first())
    }

    private fun count(fingerprint: String): Int {
        val fingerprintCrashes = crashes[fingerprint] ?: return 0
        return if (isExpired(fingerprintCrashes)) 0 else fingerprintCrashes.size
    }

    private fun isExpired(fingerprintCrashes: List<Crash>): Boolean =
        fingerprintCrashes.maxOf { it.time }.elapsedNow() >= EXPIRY

    private fun removeExpired() {
        crashes.values.removeIf { isExpired(it) }
    }

    companion object {
        /** The first crash may be a coincidence; a second one with the same request is attributed to the request. */
        const val BLOCK_THRESHOLD = 2
        val EXPIRY = 10.minutes

        /** Reports of one crash arrive within a few seconds, and a crashed server takes longer to serve again. */
        private val SAME_CRASH_WINDOW = 10.seconds
        private const val MAXIMUM_CRASHES = 8

        /** Bounds memory when many requests are in flight on crashing servers; the oldest are removed first. */
        private const val MAXIMUM_FINGERPRINTS = 4_096
    }
}
