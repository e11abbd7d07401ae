package io.tarragonport.core.intent

/**
 * Result of applying operations to a head.
 *
 * [outcomes] are in the order of the operations. [changed] is false if [head] equals the previous head. [expired] are
 * the records and [expiredSegments] the segments that were removed because their retention ended.
 */
data class HeadUpdate(
    val head: BucketHead,
    val outcomes: List<IntentOutcome>,
    val changed: Boolean,
    val expired: List<IntentRecord>,
    val expiredSegments: List<SealedSegment>,
)
