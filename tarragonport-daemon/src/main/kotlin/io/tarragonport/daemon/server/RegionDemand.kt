package io.tarragonport.daemon.server

import io.tarragonport.api.id.PoolId
import io.tarragonport.api.peer.PoolDemand
import io.tarragonport.core.placement.PoolLoad
import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.dispatch.RequestCount
import io.tarragonport.daemon.peer.PeerGossip
import io.tarragonport.daemon.placement.DemandSource
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

/** Announces this VM's waiting and running requests to peers and provides the demand of the region to placement. */
class RegionDemand(
    private val dispatcher: Dispatcher,
    private val gossip: PeerGossip,
) : DemandSource {
    /** Announces this VM's demand until cancelled. */
    suspend fun run() {
        while (true) {
            gossip.reportDemand(localDemand(dispatcher.counts()))
            delay(ANNOUNCE_INTERVAL)
        }
    }

    override fun loads(): List<PoolLoad> {
        val counts = dispatcher.counts()
        val demands =
            localDemand(counts) +
                gossip.demand.value.values
                    .flatten()
        return demands.groupBy { it.pool }.map { (pool, poolDemands) ->
            PoolLoad(
                pool = pool,
                queueLength = poolDemands.sumOf { it.waiting },
                running = poolDemands.sumOf { it.running },
                durableShare = durableShare(pool, counts),
            )
        }
    }

    private fun localDemand(counts: List<RequestCount>): List<PoolDemand> =
        counts.groupBy { it.pool to it.requestClass.tier }.map { (key, group) ->
            PoolDemand(key.first, key.second, group.sumOf { it.waiting }, group.sumOf { it.running })
        }

    /**
     * Share of the requests for [pool] that cannot be both repeated and resumed; 1 without requests. Computed from the
     * requests of this VM only, because peers announce tiers and not classes.
     */
    private fun durableShare(
        pool: PoolId,
        counts: List<RequestCount>,
    ): Double {
        val poolCounts = counts.filter { it.pool == pool }
        val total = poolCounts.sumOf { it.waiting + it.running }
        val durable =
            poolCounts
                .filter { !it.requestClass.repeatable || !it.requestClass.resumable }
                .sumOf { it.waiting + it.running }
        return if (total == 0) 1.0 else durable.toDouble() / total
    }

    private companion object {
        val ANNOUNCE_INTERVAL = 1.seconds
    }
}
