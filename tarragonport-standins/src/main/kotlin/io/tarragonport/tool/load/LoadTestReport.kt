package io.tarragonport.tool.load

import kotlinx.serialization.Serializable

/**
 * Result of a load test. Times are in milliseconds from the scheduled start of each request, so that a stall counts for
 * every request scheduled during it.
 *
 * [addedP50] and [addedP99] are the differences between the first-token percentiles of the two paths.
 * [daemonResidentMb] is the peak resident memory.
 */
@Serializable
data class LoadTestReport(
    val rate: Double,
    val seconds: Int,
    val direct: PathReport,
    val daemon: PathReport,
    val addedP50: Double,
    val addedP99: Double,
    val daemonResidentMb: Double,
    val daemonCpuPercent: Double,
)
