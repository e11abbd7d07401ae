package io.tarragonport.daemon.intent

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and sizes of the intent registry.
 *
 * Claims of one bucket that arrive within [batchWait] share a write. Settlements (responses and releases) wait for the
 * same time, in a busy bucket up to [settleWait], for a claim that can share the write. A claim that is not durable
 * within [claimTimeout] is refused. The bucket's owner has [forwardTimeout] to make a claim durable, and additionally
 * [settleWait] for a settlement; after that the VM commits the operation itself. An object API call without a response
 * within [callTimeout] counts as failed. After a failed call the bucket backs off for [firstRetry], doubled up to
 * [lastRetry], with jitter. A head above [sealBytes] is sealed, because every commit writes the whole head.
 * [pendingBytesLimit] bounds the memory for settlements that are not durable yet.
 */
data class IntentSettings(
    val batchWait: Duration = 20.milliseconds,
    val settleWait: Duration = 900.milliseconds,
    val claimTimeout: Duration = 2.seconds,
    val forwardTimeout: Duration = 300.milliseconds,
    val callTimeout: Duration = 1.seconds,
    val firstRetry: Duration = 50.milliseconds,
    val lastRetry: Duration = 2.seconds,
    val sealBytes: Int = 64 * 1024,
    val pendingBytesLimit: Long = 16L * 1024 * 1024,
)
