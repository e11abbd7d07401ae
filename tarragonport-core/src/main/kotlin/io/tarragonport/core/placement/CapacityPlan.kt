package io.tarragonport.core.placement

import kotlin.math.ceil

/** Computes how many servers of each kind a pool needs. */
class CapacityPlan(
    private val settings: PlacementSettings,
) {
    /** Load in units of servers: the larger of tokens by throughput and requests by slots. */
    fun load(
        pool: PlacementPool,
        load: PoolLoad,
    ): Double {
        val bySlots = (load.running + load.queueLength).toDouble() / pool.pool.slots
        val byTokens = pool.serverTokensPerSecond?.takeIf { it > 0 }?.let { load.tokensPerSecond / it } ?: 0.0
        return maxOf(bySlots, byTokens)
    }

    /**
     * Number of servers for a [load] in units of servers at [utilisation].
     *
     * Ordinary servers cover the [durableShare] of the load even after the loss of the failure domain that has most of
     * them, if they are spread evenly over [ordinaryDomains] domains. [cheapLimit] bounds the cheap servers; ordinary
     * ones cover the remainder.
     */
    fun wanted(
        pool: PlacementPool,
        load: Double,
        durableShare: Double,
        utilisation: Double,
        ordinaryDomains: Int,
        cheapLimit: Int,
    ): WantedServers {
        val total = serversFor(load, utilisation)
        val durable = serversFor(load * durableShare, utilisation)
        val minimumOrdinary = maxOf(withSpares(durable, ordinaryDomains), pool.pool.minimumServers)
        val cheapUsable = if (pool.pool.cheapAllowed && settings.cheapIsWorthwhile) cheapLimit else 0
        val cheap = (total - minimumOrdinary).coerceIn(0, maxOf(cheapUsable, 0))
        val ordinary = maxOf(minimumOrdinary, total - cheap)
        val surviving = if (ordinaryDomains > 1) durable else 0
        return bounded(WantedServers(ordinary, cheap, surviving), pool.pool.maximumServers)
    }

    private fun serversFor(
        load: Double,
        utilisation: Double,
    ): Int = ceil(load / utilisation - ROUNDING_TOLERANCE).toInt().coerceAtLeast(0)

    /** The smallest number of servers of which [needed] remain after the loss of the largest of [domains] domains. */
    private fun withSpares(
        needed: Int,
        domains: Int,
    ): Int =
        when {
            needed == 0 || domains <= 1 -> needed
            else -> generateSequence(needed) { it + 1 }.first { it - (it + domains - 1) / domains >= needed }
        }

    private fun bounded(
        wanted: WantedServers,
        maximum: Int,
    ): WantedServers {
        val ordinary = minOf(wanted.ordinary, maximum)
        return wanted.copy(ordinary = ordinary, cheap = minOf(wanted.cheap, maximum - ordinary))
    }

    companion object {
        /** Prevents floating-point error from turning a load of exactly n servers into n + 1. */
        private const val ROUNDING_TOLERANCE = 1e-9
    }
}
