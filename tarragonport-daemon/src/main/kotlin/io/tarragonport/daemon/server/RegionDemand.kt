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

/** Announces this VM's waiting and running requests to peers and provides those of the region to placement. */
class RegionDemand(
    private val dispatcher: Dispatcher,
    private val gossip: PeerGossip,
) : DemandSource {
    /** Announces this VM's demand until cancelled. */
    suspend fun run() {
        while (true) {
            gossip.reportDemand(own(dispatcher.counts()))
            delay(ANNOUNCE_INTERVAL)
        }
    }

    override fun loads(): List<PoolLoad> {
        val counts = dispatcher.counts()
        val all =
            own(counts) +
                gossip.demand.value.values
                    .flatten()
        return all.groupBy { it.pool }.map { (pool, parts) ->
            PoolLoad(
                pool = pool,
                queueLength = parts.sumOf { it.waiting },
                running = parts.sumOf { it.running },
                durableShare = durableShare(pool, counts),
            )
        }
    }

    private fun own(counts: List<RequestCount>): List<PoolDemand> =
        counts.groupBy { it.pool to it.requestClass.tier }.map { (key, parts) ->
            PoolDemand(key.first, key.second, parts.sumOf { it.waiting }, parts.sumOf { it.running })
        }

    /** Computed from this VM's own requests, because peers announce tiers and not classes; 1 without requests. */
    private fun durableShare(
        pool: PoolId,
        counts: List<RequestCount>,
    ): Double {
        val here = counts.filter { it.pool == pool }
        val total = here.sumOf { it.waiting + it.running }
        val durable =
            here
                .filter { !it.requestClass.repeatable || !it.requestClass.resumable }
                .sumOf { it.waiting + it.running }
        return if (total == 0) 1.0 else durable.toDouble() / total
    }

    private companion object {
        val ANNOUNCE_INTERVAL = 1.seconds
    }
}
