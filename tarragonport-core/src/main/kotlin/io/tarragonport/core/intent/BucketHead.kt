package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/**
 * The head object of one bucket: the state machine of all its claims.
 *
 * Applying an operation is idempotent, because an attempt that finds its own record gets the same outcome as when it
 * wrote that record. Therefore, after a version conflict or a lost response to a write, a VM only has to read the head
 * again and apply the same operations.
 *
 * Records are retained until they expire. When the head grows large, records that can no longer change are moved into
 * sealed segments. The number of a new segment is at least [nextSegment], so numbers are never reused.
 */
@Serializable
data class BucketHead(
    val records: Map<String, IntentRecord> = emptyMap(),
    val segments: List<SealedSegment> = emptyList(),
    val nextSegment: Int = 0,
) {
    /**
     * Applies [operations] at [now] (milliseconds since the epoch).
     *
     * Finishes and releases are applied before claims, so that a retry in the same batch gets the response. [sealed]
     * has the records of claimed digests that are in a sealed segment, by digest.
     */
    fun apply(
        operations: List<IntentOperation>,
        sealed: Map<String, IntentRecord>,
        now: Long,
    ): HeadUpdate {
        val live = LinkedHashMap(records)
        val expired = removeExpired(live, now)
        val liveSegments = segments.filterNot { isExpired(it.expiresAt, now) }
        val outcomes = arrayOfNulls<IntentOutcome>(operations.size)
        val order = operations.indices.sortedBy { operations[it] is IntentOperation.Claim }
        for (index in order) {
            outcomes[index] = applyOne(live, operations[index], sealed, now)
        }
        val head = copy(records = live, segments = liveSegments)
        return HeadUpdate(
            head = head,
            outcomes = outcomes.map { checkNotNull(it) },
            changed = head != this,
            expired = expired,
            expiredSegments = segments - liveSegments.toSet(),
        )
    }

    /**
     * Plans segment [number], or returns null if no record can be sealed.
     *
     * Finished records are sealed. A started record can still be finished, so it stays in the head until it is older
     * than [STARTED_SEAL_AGE_MS], which is longer than any deadline.
     */
    fun seal(
        number: Int,
        now: Long,
    ): SealPlan? {
        require(number >= nextSegment) { "segment number $number is below the next number $nextSegment" }
        val (sealable, open) = records.values.partition { isSealable(it, now) }
        if (sealable.isEmpty()) {
            return null
        }
        val segment = SealedSegment(number, sealable.maxOf { it.expiresAt })
        val head =
            BucketHead(
                records = open.associateBy { it.digest },
                segments = segments + segment,
                nextSegment = number + 1,
            )
        check(head.records.size + sealable.size == records.size) { "sealing lost a record" }
        return SealPlan(number, SealedRecords(sealable), head)
    }

    private fun applyOne(
        live: MutableMap<String, IntentRecord>,
        operation: IntentOperation,
        sealed: Map<String, IntentRecord>,
        now: Long,
    ): IntentOutcome =
        when (operation) {
            is IntentOperation.Claim -> claim(live, operation, sealed, now)
            is IntentOperation.Finish -> finish(live, operation)
            is IntentOperation.Release -> release(live, operation)
        }

    private fun claim(
        live: MutableMap<String, IntentRecord>,
        claim: IntentOperation.Claim,
        sealed: Map<String, IntentRecord>,
        now: Long,
    ): IntentOutcome {
        val sealedRecord = sealed[claim.digest]?.takeUnless { isExpired(it.expiresAt, now) }
        val existing = live[claim.digest] ?: sealedRecord
        if (existing == null) {
            live[claim.digest] = started(claim, now)
            return IntentOutcome.Granted
        }
        return when {
            existing.attempt == claim.attempt -> IntentOutcome.Granted
            existing.bodyDigest != claim.bodyDigest -> IntentOutcome.DifferentBody
            else -> IntentOutcome.Duplicate(existing)
        }
    }

    private fun started(
        claim: IntentOperation.Claim,
        now: Long,
    ) = IntentRecord(
        digest = claim.digest,
        bodyDigest = claim.bodyDigest,
        attempt = claim.attempt,
        state = IntentState.STARTED,
        claimedAt = now,
        expiresAt = claim.expiresAt,
    )

    private fun finish(
        live: MutableMap<String, IntentRecord>,
        finish: IntentOperation.Finish,
    ): IntentOutcome {
        val existing = live[finish.digest]
        if (existing == null || existing.attempt != finish.attempt) {
            return IntentOutcome.NotFound
        }
        if (existing.state == IntentState.FINISHED) {
            return IntentOutcome.Settled
        }
        val stored = finish.answer == null
        live[finish.digest] =
            existing.copy(state = IntentState.FINISHED, answer = finish.answer, answerStored = stored)
        return IntentOutcome.Settled
    }

    private fun release(
        live: MutableMap<String, IntentRecord>,
        release: IntentOperation.Release,
    ): IntentOutcome {
        val existing = live[release.digest]
        if (existing == null || existing.attempt != release.attempt || existing.state != IntentState.STARTED) {
            return IntentOutcome.NotFound
        }
        live.remove(release.digest)
        return IntentOutcome.Settled
    }

    private fun removeExpired(
        live: MutableMap<String, IntentRecord>,
        now: Long,
    ): List<IntentRecord> {
        val expired = live.values.filter { isExpired(it.expiresAt, now) }
        expired.forEach { live.remove(it.digest) }
        return expired
    }

    private fun isSealable(
        record: IntentRecord,
        now: Long,
    ): Boolean = record.state == IntentState.FINISHED || now - record.claimedAt > STARTED_SEAL_AGE_MS

    private fun isExpired(
        expiresAt: Long,
        now: Long,
    ): Boolean = now > expiresAt + EXPIRY_MARGIN_MS

    companion object {
        /** Added to the retention of records because the clocks of VMs differ. */
        const val EXPIRY_MARGIN_MS = 5L * 60 * 1000

        /** Age after which a started record may be sealed; its response can then no longer be recorded. */
        const val STARTED_SEAL_AGE_MS = 60L * 60 * 1000
    }
}
