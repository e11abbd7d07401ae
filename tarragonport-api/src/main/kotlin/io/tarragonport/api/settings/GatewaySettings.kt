package io.tarragonport.api.settings

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable

/**
 * Settings of one gateway process on the users' platform, read at start and again after SIGHUP or a change of the file.
 *
 * Addresses are `ip:port`, URLs are `http://ip:port`, and times in seconds may be fractional. [peerPorts] are the first
 * and last port for messages between VMs, which listen on the first. [seeds] are addresses of other VMs to contact when
 * the object store is unavailable. [stopSeconds] is the time between the stop signal and the kill. In any
 * [retryWindowSeconds], all VMs together retry at most a share of [retryRatio] of their requests plus [retrySpare]
 * requests. [leaseSeconds] is the minimum time between the calls of two successive holders of the duty lease. Usage
 * windows have a length of [usageWindowSeconds], and their reports are due [usageDueSeconds] after their end. A
 * configuration must be active on all VMs within [configurationSeconds]. [evacuationSeconds] is the time within which
 * the servers of a failure domain get no more requests once its evacuation was requested; without it, requests for
 * evacuations are not watched.
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
    val evacuationSeconds: Double? = null,
    val metricsPort: Int = 9464,
    val logFormat: LogFormat = LogFormat.JSON,
)
