package io.tarragonport.core.intent

/** Steps to shrink a bucket head: create segment [number] with [content], then replace the stored head by [head]. */
data class SealPlan(
    val number: Int,
    val content: SealedRecords,
    val head: BucketHead,
)
