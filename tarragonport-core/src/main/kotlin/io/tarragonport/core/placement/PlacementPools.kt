package io.tarragonport.core.placement

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.core.configuration.Configuration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Derives the pools managed by placement in one region from the configuration. */
object PlacementPools {
    /** Drain time of a pool without routes, which has no requests. */
    private val UNUSED_DRAIN_TIME: Duration = 60.seconds

    /** All pools; [serverTokensPerSecond] is the measured throughput of one server of a pool, null if unknown. */
    fun of(
        configuration: Configuration,
        regionDomains: List<FailureDomainId>,
        serverTokensPerSecond: (PoolId) -> Double?,
    ): List<PlacementPool> =
        configuration.document.pools.map { pool ->
            val domains = regionDomains.filter { pool.failureDomains.isEmpty() || it in pool.failureDomains }
            PlacementPool(pool, domains, drainTime(configuration, pool.id), serverTokensPerSecond(pool.id))
        }

    private fun drainTime(
        configuration: Configuration,
        pool: PoolId,
    ): Duration =
        configuration.document.routes
            .filter { it.pool == pool }
            .flatMap { it.classes }
            .mapNotNull { configuration.requestClass(it)?.deadlineMs?.milliseconds }
            .maxOrNull() ?: UNUSED_DRAIN_TIME
}
