package io.tarragonport.tool.capacity

import kotlinx.serialization.Serializable

/**
 * One line of the intent probe's output. The latency of a claim is the time until it is granted, that of a finish the
 * time until the response is durable. [processorSecondsPerSecond] includes the platform stand-in and the load
 * generator.
 */
@Serializable
data class IntentProbeResult(
    val claimRatePerSecond: Int,
    val vms: Int,
    val buckets: Int,
    val durationSeconds: Int,
    val headRecordsAtStart: Int,
    val claimsSentToOwners: Boolean,
    val batchWaitMs: Long,
    val settleWaitMs: Long,
    val sealBytes: Int,
    val requests: Long,
    val refused: Long,
    val writes: Long,
    val conflicts: Long,
    val reads: Long,
    val writesPerRequest: Double,
    val readsPerRequest: Double,
    val writesPerSecond: Double,
    val kilobytesWrittenPerSecond: Double,
    val kilobytesReadPerSecond: Double,
    val claimP50Ms: Double,
    val claimP95Ms: Double,
    val claimP99Ms: Double,
    val claimMaxMs: Double,
    val finishP50Ms: Double,
    val finishP99Ms: Double,
    val processorSecondsPerSecond: Double,
)
