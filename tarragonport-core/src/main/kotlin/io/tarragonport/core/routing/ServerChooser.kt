package io.tarragonport.core.routing

import io.tarragonport.api.id.BackendServerId
import org.apache.commons.math3.random.RandomGenerator

/**
 * Chooses the server with the lowest expected cost for a request. Among servers with nearly the lowest cost it takes
 * the less loaded of two chosen at random, so that VMs with the same stale reports do not all choose the same server.
 */
internal class ServerChooser(
    private val random: RandomGenerator,
    private val eligibility: ServerEligibility,
) {
    private var loads = DoubleArray(0)
    private var scores = DoubleArray(0)

    /** The server for [route], or null if none has a free slot; [use] determines the slots that it may use. */
    fun choose(
        pool: ServerPool,
        route: RouteRequest,
        now: Long,
        use: SlotUse,
    ): RouteChoice? {
        val servers = pool.servers
        if (loads.size < servers.size) {
            loads = DoubleArray(servers.size)
            scores = DoubleArray(servers.size)
        }
        val probe = score(pool, route, now, use)
        if (probe != null) return RouteChoice(probe, listOf(probe.status.id), "probe")
        return chooseScored(servers)
    }

    /** Whether [route] may start on [server] now; [use] as in [choose]. */
    fun allows(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        now: Long,
        use: SlotUse,
    ): Boolean {
        val avoid = pool.servers.any { !it.leaving && it.status.id !in route.request.avoid }
        val load = server.load.estimate(now, pool.meanReported, pool.serviceSeconds, pool.peers)
        return eligibility.allows(pool, server, route, load, avoid, use)
    }

    /**
     * Fills [loads] and [scores]; a server that may not be used gets an infinite score. Returns an ejected server if
     * one is due for a probe.
     */
    private fun score(
        pool: ServerPool,
        route: RouteRequest,
        now: Long,
        use: SlotUse,
    ): RoutedServer? {
        val servers = pool.servers
        val avoid = servers.any { !it.leaving && it.status.id !in route.request.avoid }
        var total = 0.0
        for (index in servers.indices) {
            val server = servers[index]
            val load = server.load.estimate(now, pool.meanReported, pool.serviceSeconds, pool.peers)
            loads[index] = load
            total += load
            val allowed = eligibility.allows(pool, server, route, load, avoid, use)
            if (allowed && server.health.ejected) return server
            scores[index] = if (allowed) 0.0 else Double.POSITIVE_INFINITY
        }
        val target = affinityTarget(servers, route, total / servers.size.coerceAtLeast(1) * LOAD_BOUND + 1.0)
        for (index in servers.indices) {
            if (scores[index] == 0.0) {
                scores[index] = ServerScore.of(pool, servers[index], route, loads[index], index == target)
            }
        }
        return null
    }

    /** The usable server with the highest rendezvous weight for the leading block whose load is at most [bound]. */
    private fun affinityTarget(
        servers: List<RoutedServer>,
        route: RouteRequest,
        bound: Double,
    ): Int {
        val block = route.request.prefixBlocks.firstOrNull() ?: return -1
        val key = RendezvousHash.of(block)
        var target = -1
        var highest = Long.MIN_VALUE
        for (index in servers.indices) {
            if (scores[index] != 0.0 || loads[index] > bound) continue
            val weight = RendezvousHash.weight(key, servers[index].hash)
            if (target < 0 || weight > highest) {
                target = index
                highest = weight
            }
        }
        return target
    }

    private fun chooseScored(servers: List<RoutedServer>): RouteChoice? {
        var best = Double.POSITIVE_INFINITY
        for (index in servers.indices) best = minOf(best, scores[index])
        if (best == Double.POSITIVE_INFINITY) return null
        val limit = best + maxOf(kotlin.math.abs(best) * NEAR_BEST, NEAR_BEST_MS)
        val near = servers.indices.filter { scores[it] <= limit }
        val first = near[random.nextInt(near.size)]
        val second = near[random.nextInt(near.size)]
        val chosen = if (loads[second] < loads[first]) second else first
        val candidates: List<BackendServerId> = near.take(LOGGED_CANDIDATES).map { servers[it].status.id }
        val reason = if (near.size == 1) "lowest cost" else "one of ${near.size} near the lowest cost"
        return RouteChoice(servers[chosen], candidates, reason)
    }

    private companion object {
        /** Affinity applies up to this multiple of the mean load, as in consistent hashing with bounded loads. */
        const val LOAD_BOUND = 1.25
        const val NEAR_BEST = 0.1

        /** Smaller differences are within the error of the estimates. */
        const val NEAR_BEST_MS = 5.0

        /** Bounds the length of the log line of a decision. */
        const val LOGGED_CANDIDATES = 8
    }
}
