package io.tarragonport.core.intent

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against granting a key twice, losing a record, and outcomes that change when an operation is reapplied. */
class BucketHeadTest {
    private val now = 1_000_000L
    private val day = 24L * 3600 * 1000
    private val response = StoredResponse(200, "text/plain", "b2s=")
    private val claimed = BucketHead().apply(listOf(claim("a")), emptyMap(), now).head
    private val finished = claimed.apply(listOf(finish("a")), emptyMap(), now).head

    private data class Case(
        val name: String,
        val head: BucketHead,
        val operation: IntentOperation,
        val outcome: IntentOutcome,
        val changed: Boolean,
    )

    private val startedRecord = claimed.records.getValue("d")
    private val finishedRecord = finished.records.getValue("d")

    private val cases =
        listOf(
            Case("first claim", BucketHead(), claim("a"), IntentOutcome.Granted, true),
            Case("same claim applied again", claimed, claim("a"), IntentOutcome.Granted, false),
            Case("claim of a started key", claimed, claim("b"), IntentOutcome.Duplicate(startedRecord), false),
            Case("claim of a finished key", finished, claim("b"), IntentOutcome.Duplicate(finishedRecord), false),
            Case("claim with another body", finished, claim("b", "other"), IntentOutcome.DifferentBody, false),
            Case("response", claimed, finish("a"), IntentOutcome.Settled, true),
            Case("response already recorded", finished, finish("a"), IntentOutcome.Settled, false),
            Case("response of another attempt", claimed, finish("b"), IntentOutcome.NotFound, false),
            Case("release", claimed, release("a"), IntentOutcome.Settled, true),
            Case("release of another attempt", claimed, release("b"), IntentOutcome.NotFound, false),
            Case("release of a finished key", finished, release("a"), IntentOutcome.NotFound, false),
        )

    @Test
    fun `the outcome of an operation depends on the state of its key`() {
        for (case in cases) {
            val update = case.head.apply(listOf(case.operation), emptyMap(), now)
            assertEquals(case.outcome to case.changed, update.outcomes.single() to update.changed, case.name)
        }
    }

    @Test
    fun `one claim of a batch is granted and a claim gets a response of the same batch`() {
        val update = BucketHead().apply(listOf(claim("a"), claim("b")), emptyMap(), now)
        assertEquals(listOf(IntentOutcome.Granted, IntentOutcome.Duplicate(startedRecord)), update.outcomes)
        val settled = claimed.apply(listOf(claim("b"), finish("a")), emptyMap(), now)
        assertEquals(IntentOutcome.Duplicate(finishedRecord), settled.outcomes.first())
    }

    @Test
    fun `a key can be claimed again after its retention and the clock margin`() {
        val end = now + day + BucketHead.EXPIRY_MARGIN_MS
        assertIs<IntentOutcome.Duplicate>(finished.apply(listOf(claim("b")), emptyMap(), end).outcomes.single())
        val after = finished.apply(listOf(claim("b")), emptyMap(), end + 1)
        assertEquals(IntentOutcome.Granted, after.outcomes.single())
        assertEquals(listOf(finishedRecord), after.expired)
    }

    @Test
    fun `sealing moves only records that cannot change and keeps their keys claimed`() {
        assertNull(claimed.seal(0, now))
        val plan = assertNotNull(finished.apply(listOf(claim("c", digest = "e")), emptyMap(), now).head.seal(0, now))
        assertEquals(listOf(finishedRecord), plan.content.records)
        assertEquals(setOf("e"), plan.head.records.keys)
        val sealed = plan.content.records.associateBy { it.digest }
        val repeat = plan.head.apply(listOf(claim("b")), sealed, now)
        assertEquals(IntentOutcome.Duplicate(finishedRecord), repeat.outcomes.single())
        assertFalse(repeat.changed)
        val old = now + BucketHead.STARTED_SEAL_AGE_MS + 1
        assertTrue(assertNotNull(claimed.seal(0, old)).head.records.isEmpty())
    }

    private fun claim(
        attempt: String,
        body: String = "body",
        digest: String = "d",
    ) = IntentOperation.Claim(digest, attempt, body, now + day)

    private fun finish(attempt: String) = IntentOperation.Finish("d", attempt, response)

    private fun release(attempt: String) = IntentOperation.Release("d", attempt)
}
