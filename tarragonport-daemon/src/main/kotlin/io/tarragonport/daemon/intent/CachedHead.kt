package io.tarragonport.daemon.intent

import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.intent.BucketHead

/**
 * The bucket head as last read or written, with its encoded size in [bytes]. A write with [condition] succeeds only if
 * the stored head has not changed since.
 */
internal data class CachedHead(
    val condition: PutCondition,
    val head: BucketHead,
    val bytes: Int,
)
