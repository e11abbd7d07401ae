package io.tarragonport.core.placement

import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.id.FailureDomainId
import kotlin.time.Duration

/**
 * A pool managed by placement.
 *
 * [domains] are the failure domains in which it may have servers. [serverTokensPerSecond] is the measured throughput of
 * one server, null if unknown. After [drainTime], the longest deadline of the request classes that use the pool, a
 * drained server has no requests left.
 */
data class PlacementPool(
    val pool: Pool,
    val domains: List<FailureDomainId>,
    val drainTime: Duration,
    val serverTokensPerSecond: Double? = null,
) {
    /** Whether placement manages the pool; operators exclude it by setting both bounds to zero. */
    val managed: Boolean get() = pool.maximumServers > 0 && domains.isNotEmpty()
}
