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
        val probe = scoreServers(pool, route, now, use)
        if (probe != null) return RouteChoice(probe, listOf(probe.status.id), "probe")
        return chooseScored(servers)
    }

    /** Whether [route] may start on [server] now; [use] determines the slots that it may use. */
    fun allows(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        now: Long,
        use: SlotUse,
    ): Boolean {
        val excludeFailed = pool.servers.any { !it.leaving && it.status.id !in route.request.failedServers }
        val load = server.load.estimate(now, pool.meanReportedRequests, pool.serviceSeconds, pool.meanPeers)
        return eligibility.allows(pool, server, route, load, excludeFailed, use)
    }

    /**
     * Fills [loads] and [scores]. A server that may not be used gets an infinite score. Returns an ejected server if
     * one is due for a probe, else null.
     */
    private fun scoreServers(
        pool: ServerPool,
        route: RouteRequest,
        now: Long,
        use: SlotUse,
    ): RoutedServer? {
        val servers = pool.servers
        val excludeFailed = servers.any { !it.leaving && it.status.id !in route.request.failedServers }
        var total = 0.0
        for (index in servers.indices) {
            val server = servers[index]
            val load = server.load.estimate(now, pool.meanReportedRequests, pool.serviceSeconds, pool.meanPeers)
            loads[index] = load
            total += load
            val allowed = eligibility.allows(pool, server, route, load, excludeFailed, use)
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

    /**
     * Index of the server with the highest rendezvous weight for the prompt's leading block, among the usable servers
     * with a load of at most [bound]; -1 if there is none.
     */
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
        val limit = best + maxOf(kotlin.math.abs(best) * NEAR_BEST_SHARE, NEAR_BEST_MS)
        val nearBest = servers.indices.filter { scores[it] <= limit }
        val first = nearBest[random.nextInt(nearBest.size)]
        val second = nearBest[random.nextInt(nearBest.size)]
        val chosen = if (loads[second] < loads[first]) second else first
        val candidates: List<BackendServerId> = nearBest.take(LOGGED_CANDIDATES).map { servers[it].status.id }
        val reason = if (nearBest.size == 1) "lowest cost" else "one of ${nearBest.size} near the lowest cost"
        return RouteChoice(servers[chosen], candidates, reason)
    }

    private companion object {
        /** Affinity applies up to this multiple of the mean load, as in consistent hashing with bounded loads. */
        const val LOAD_BOUND = 1.25

        /** Costs up to this share above the lowest count as nearly the same. */
        const val NEAR_BEST_SHARE = 0.1

        /** Costs up to this much above the lowest count as nearly the same, as they are within the estimates' error. */
        const val NEAR_BEST_MS = 5.0

        /** Bounds the length of the log line of a decision. */
        const val LOGGED_CANDIDATES = 8
    }
}
