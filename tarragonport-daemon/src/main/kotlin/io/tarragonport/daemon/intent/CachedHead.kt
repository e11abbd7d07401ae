package io.tarragonport.daemon.intent

import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.intent.BucketHead

/** The last read or written bucket head of [bytes]; a write with [condition] succeeds if it has not changed since. */
internal data class CachedHead(
    val condition: PutCondition,
    val head: BucketHead,
    val bytes: Int,
)
