package io.tarragonport.daemon.intent

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timeouts and sizes of the intent registry. */
data class IntentSettings(
    /** Claims of one bucket that arrive within this time share a write. */
    val batchWait: Duration = 20.milliseconds,
    /**
     * Longest time that a settlement (a response or a release) waits in a busy bucket for a claim that can share the
     * write. In other buckets it waits for [batchWait].
     */
    val settleWait: Duration = 900.milliseconds,
    /** A claim that is not durable within this time is refused. */
    val claimTimeout: Duration = 2.seconds,
    /**
     * Time that the bucket's owner has to make a claim durable; for a settlement it has [settleWait] in addition. After
     * that the VM commits the operation itself.
     */
    val forwardTimeout: Duration = 300.milliseconds,
    /** An object store call without a response within this time counts as failed. */
    val callTimeout: Duration = 1.seconds,
    /** Delay of a bucket after a failed call; doubled after each further failure, with jitter. */
    val initialBackoff: Duration = 50.milliseconds,
    /** Upper bound of the backoff. */
    val maximumBackoff: Duration = 2.seconds,
    /** A bucket head above this size is sealed, because every commit writes the whole head. */
    val sealBytes: Int = 64 * 1024,
    /** Bounds the memory for settlements that are not durable yet. */
    val pendingBytesLimit: Long = 16L * 1024 * 1024,
)
