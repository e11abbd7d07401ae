package io.tarragonport.api.settings

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable

/**
 * Settings of one daemon process, read once at start from a JSON file with comments.
 *
 * Addresses are `ip:port`, times are in milliseconds, [platformUrl] is `http://ip:port`. [peerSeeds] are peer addresses
 * contacted at start in addition to the VM list. [drainAcceptMs] is the time for which connections are still accepted
 * after SIGTERM.
 */
@Serializable
data class ProcessSettings(
    val vmId: VmId,
    val region: RegionId,
    val failureDomain: FailureDomainId,
    val callerAddress: String,
    val peerAddress: String,
    val platformUrl: String,
    val peerSeeds: List<String> = emptyList(),
    val failureDomains: List<FailureDomainId> = emptyList(),
    val logFormat: LogFormat = LogFormat.JSON,
    val drainAcceptMs: Long = DEFAULT_DRAIN_ACCEPT_MS,
    val bodyLimitBytes: Long = DEFAULT_BODY_LIMIT_BYTES,
    val bodyTimeoutMs: Long = DEFAULT_BODY_TIMEOUT_MS,
) {
    companion object {
        const val DEFAULT_DRAIN_ACCEPT_MS = 5_000L
        const val DEFAULT_BODY_LIMIT_BYTES = 4L * 1024 * 1024
        const val DEFAULT_BODY_TIMEOUT_MS = 10_000L
    }
}
