package io.tarragonport.api.settings

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable

/**
 * Settings of one gateway process on the users' platform, read at start and again after SIGHUP.
 *
 * Addresses are `ip:port`, URLs `http://ip:port`, times in seconds may be fractions. [peerPorts] are the first and last
 * port that VMs may use among themselves; they listen on the first. [seeds] are other VMs to ask when the store is away; only [stopSeconds] is the time between the signal to stop and the kill,
 * [retryRatio] and [retrySpare] bound the requests sent to a second server in [retryWindowSeconds] for all VMs together,
 * as a share of the requests and as a number. [leaseSeconds] is the shortest time between the calls of two holders of a
 * duty. Windows of usage have [usageWindowSeconds] and are due [usageDueSeconds] after their end. A configuration has to
 * be in force everywhere within [configurationSeconds].
 */
@Serializable
data class GatewaySettings(
    val vmId: VmId,
    val region: RegionId,
    val failureDomain: FailureDomainId,
    val ip: String,
    val callerAddress: String,
    val readinessAddress: String,
    val peerPorts: List<Int>,
    val platformUrl: String,
    val seeds: List<String> = emptyList(),
    val dutyUrl: String? = null,
    val duties: List<String> = emptyList(),
    val stopSeconds: Double = 8.0,
    val retryRatio: Double = 0.2,
    val retrySpare: Double = 50.0,
    val retryWindowSeconds: Double = 10.0,
    val leaseSeconds: Double = 3.0,
    val usageWindowSeconds: Double = 5.0,
    val usageDueSeconds: Double = 10.0,
    val configurationSeconds: Double = 2.0,
    val metricsPort: Int = 9464,
    val logFormat: LogFormat = LogFormat.JSON,
)
