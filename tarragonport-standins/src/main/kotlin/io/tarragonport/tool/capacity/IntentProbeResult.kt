package io.tarragonport.tool.capacity

import kotlinx.serialization.Serializable

/**
 * Result of [IntentProbe] for one claim rate, printed as one JSON line.
 *
 * The latency of a claim is the time until it is granted or refused. The latency of a finish is the time until the
 * response is durable. [processorSecondsPerSecond] is the CPU time of the whole process per second, which includes the
 * platform stand-in and the load generator.
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
