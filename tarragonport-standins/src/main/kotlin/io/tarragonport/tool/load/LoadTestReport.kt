package io.tarragonport.tool.load

import kotlinx.serialization.Serializable

/**
 * Result of a load run; times in milliseconds from the scheduled start of each request, so that a stall counts for
 * every request that was due in it.
 *
 * [addedP50] and [addedP99] are the differences of the two paths' first-token percentiles. [daemonResidentMb] is the
 * highest resident memory seen.
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
