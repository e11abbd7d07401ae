package io.tarragonport.daemon.intent

import io.tarragonport.api.event.LogEvent

/** Log events of the intent registry. */
object IntentEvents {
    val STORE_FAILED =
        LogEvent(1500, "intent_store_failed", "An object store call for a bucket failed; it is retried after a backoff")
    val CLAIM_REFUSED =
        LogEvent(1501, "intent_claim_refused", "A claim could not be made durable within its timeout")
    val SETTLEMENT_DROPPED =
        LogEvent(
            1502,
            "intent_settlement_dropped",
            "A response or release is dropped because too many are pending; retries of that key get outcome_unknown",
        )
    val ANSWER_NOT_RECORDED =
        LogEvent(
            1503,
            "intent_answer_not_recorded",
            "The object store rejected a response or its record does not exist; " +
                "retries of that key get outcome_unknown",
        )
    val BUCKET_SEALED =
        LogEvent(1504, "intent_bucket_sealed", "Records of a large bucket head were moved to a sealed segment")
    val COMMIT_FAILED =
        LogEvent(1505, "intent_commit_failed", "The commit of a batch failed with an unexpected error; it is retried")
    val SEGMENT_MISSING =
        LogEvent(
            1506,
            "intent_segment_missing",
            "A sealed segment listed in its bucket head does not exist; claims in that bucket are refused",
        )

    /** All events of this package. */
    val ALL =
        listOf(
            STORE_FAILED,
            CLAIM_REFUSED,
            SETTLEMENT_DROPPED,
            ANSWER_NOT_RECORDED,
            BUCKET_SEALED,
            COMMIT_FAILED,
            SEGMENT_MISSING,
        )
}
