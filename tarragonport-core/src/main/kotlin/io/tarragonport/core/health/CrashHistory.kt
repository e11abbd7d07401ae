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
 * Fingerprints of requests, or of parts of them, that were in flight on crashing servers, with the number of crashes
 * across the fleet since the last success.
 *
 * A fingerprint is suspect after one crash and blocked after [blockThreshold] crashes: its requests are then refused. A
 * success discards the crashes before it. A fingerprint expires ten minutes after its last crash. Messages contain ages
 * rather than times, because clocks of different VMs are not comparable. Records of one server within [sameCrashWindow]
 * of each other count as the same crash, so that a message that is merged twice, or a crash that several VMs observe,
 * counts once.
 */
class CrashHistory(
    private val clock: TimeSource.WithComparableMarks,
    private val blockThreshold: Int = BLOCK_THRESHOLD,
    private val sameCrashWindow: Duration = SAME_CRASH_WINDOW,
) {
    /** A crash of [server] between [earliest] and [latest]. */
    private class Crash(
        val server: BackendServerId,
        val earliest: ComparableTimeMark,
        val latest: ComparableTimeMark,
        val id: Long,
    )

    private data class RecordKey(
        val fingerprint: String,
        val id: Long,
    )

    private val crashes = LinkedHashMap<String, MutableList<Crash>>()

    /** Fingerprints with at least [blockThreshold] crashes. */
    private val frequent = HashSet<String>()
    private val successes = LastSuccesses()

    /** Records that were merged before, without which a discarded crash would return with every copy of its record. */
    private val knownRecords = LinkedHashSet<RecordKey>()

    /** Whether no crash is recorded. */
    val isEmpty: Boolean get() = crashes.isEmpty()

    /**
     * Records that a request with [fingerprint] was in flight on [server], which crashed now. Returns false if the
     * crash is known, or older than a success.
     */
    fun record(
        fingerprint: String,
        server: BackendServerId,
    ): Boolean = add(CrashRecord(fingerprint, server), Duration.ZERO)

    /** Adds the records of a peer, whose ages may be too low by up to [delay], and returns those that are new. */
    fun merge(
        records: List<CrashRecord>,
        delay: Duration = Duration.ZERO,
    ): List<CrashRecord> {
        removeExpired()
        return records.filter { add(it, delay) }
    }

    /** Records that a request with [fingerprint] succeeded [age] ago; returns whether this discarded a crash. */
    fun succeeded(
        fingerprint: String,
        age: Duration = Duration.ZERO,
    ): Boolean {
        val time = clock.markNow() - age
        successes.record(fingerprint, time)
        val fingerprintCrashes = crashes[fingerprint] ?: return false
        val discarded = fingerprintCrashes.removeIf { it.earliest <= time }
        if (fingerprintCrashes.size < blockThreshold) frequent -= fingerprint
        if (fingerprintCrashes.isEmpty()) crashes -= fingerprint
        return discarded
    }

    /** Whether a request with [fingerprint] succeeded on this VM or another less than [period] ago. */
    fun hasSucceededWithin(
        fingerprint: String,
        period: Duration,
    ): Boolean = successes[fingerprint]?.let { it.elapsedNow() < period } ?: false

    fun isSuspect(fingerprint: String): Boolean = count(fingerprint) >= 1

    fun isBlocked(fingerprint: String): Boolean = count(fingerprint) >= blockThreshold

    /**
     * The fingerprint that blocks a request with all these [fingerprints]; null if it may run.
     *
     * A sound part can be in flight at each crash that another part causes. A fingerprint therefore blocks nothing if
     * another one, which this request does not have, was in flight at all of its crashes.
     */
    fun blocking(fingerprints: Collection<String>): String? =
        if (!canBlock) {
            null
        } else {
            fingerprints
                .filter { it in frequent && isBlocked(it) && !isExplainedByOther(it, fingerprints) }
                .maxByOrNull(::count)
        }

    /** Whether any fingerprint has enough crashes to block requests. */
    val canBlock: Boolean get() = frequent.isNotEmpty()

    /** All unexpired records of known age, for peers; the newest fingerprint is last. */
    fun records(): List<CrashRecord> {
        removeExpired()
        return crashes.flatMap { (fingerprint, fingerprintCrashes) ->
            fingerprintCrashes
                .filter { it.earliest == it.latest }
                .map { CrashRecord(fingerprint, it.server, it.latest.elapsedNow().inWholeMilliseconds, it.id) }
        }
    }

    private fun add(
        record: CrashRecord,
        delay: Duration,
    ): Boolean {
        val fingerprint = record.fingerprint
        val age = record.ageMs.coerceAtLeast(0).milliseconds
        if (fingerprint.isEmpty() || age > EXPIRY || isKnown(record)) return false
        val latest = clock.markNow() - age
        val crash = Crash(record.server, latest - delay, latest, record.id)
        if (successes[fingerprint]?.let { it >= crash.earliest } == true) return false
        val fingerprintCrashes = crashes.getOrPut(fingerprint) { ArrayList(BLOCK_THRESHOLD) }
        if (fingerprintCrashes.isNotEmpty() && isExpired(fingerprintCrashes)) fingerprintCrashes.clear()
        if (fingerprintCrashes.any { isSame(it, crash) }) return false
        if (fingerprintCrashes.size == MAXIMUM_CRASHES) {
            val oldest = fingerprintCrashes.minBy { it.latest }
            if (crash.latest <= oldest.latest) return false
            fingerprintCrashes -= oldest
        }
        fingerprintCrashes += crash
        if (fingerprintCrashes.size >= blockThreshold) frequent += fingerprint
        if (crashes.size > MAXIMUM_FINGERPRINTS) remove(crashes.keys.first())
        return true
    }

    private fun isKnown(record: CrashRecord): Boolean {
        if (record.id == 0L) return false
        if (!knownRecords.add(RecordKey(record.fingerprint, record.id))) return true
        if (knownRecords.size > MAXIMUM_RECORDS) knownRecords.remove(knownRecords.first())
        return false
    }

    private fun isSame(
        one: Crash,
        other: Crash,
    ): Boolean =
        one.server == other.server &&
            one.earliest - other.latest < sameCrashWindow &&
            other.earliest - one.latest < sameCrashWindow

    private fun isExplainedByOther(
        fingerprint: String,
        ofRequest: Collection<String>,
    ): Boolean {
        val explained = crashes[fingerprint].orEmpty()
        return frequent.any { other ->
            val otherCrashes = crashes[other].orEmpty()
            other !in ofRequest && explained.all { crash -> otherCrashes.any { isSame(it, crash) } }
        }
    }

    private fun count(fingerprint: String): Int {
        val fingerprintCrashes = crashes[fingerprint] ?: return 0
        return if (isExpired(fingerprintCrashes)) 0 else fingerprintCrashes.size
    }

    private fun isExpired(fingerprintCrashes: List<Crash>): Boolean =
        fingerprintCrashes.maxOf { it.latest }.elapsedNow() >= EXPIRY

    private fun removeExpired() = crashes.filterValues { isExpired(it) }.keys.forEach(::remove)

    private fun remove(fingerprint: String) {
        crashes -= fingerprint
        frequent -= fingerprint
    }

    companion object {
        /** The first crash may be a coincidence; a second one with the same request is attributed to the request. */
        const val BLOCK_THRESHOLD = 2
        val EXPIRY = 10.minutes

        /** Reports of one crash arrive within a few seconds, and a crashed server takes longer to serve again. */
        private val SAME_CRASH_WINDOW = 10.seconds
        private const val MAXIMUM_CRASHES = 32

        /** Bounds memory when many requests are in flight on crashing servers; the oldest are removed first. */
        private const val MAXIMUM_FINGERPRINTS = 4_096
        private const val MAXIMUM_RECORDS = 8_192
    }
}
