package io.tarragonport.core.routing

/** Expected cost of sending a request to a server, in milliseconds. */
internal object ServerScore {
    /** [affinityTarget] is set for the server to which hashing assigns the prompt's leading block. */
    fun of(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        load: Double,
        affinityTarget: Boolean,
    ): Double {
        val slots = server.status.slots.toDouble()
        val excess = (load + 1.0 - slots).coerceAtLeast(0.0)
        val wait = excess * pool.serviceSeconds * MS_PER_SECOND / slots
        val slowdown = route.estimate.p50 * pool.speed.betweenTokensMs * BATCH_SLOWDOWN * load / slots
        return wait + slowdown + prefill(pool, server, route, affinityTarget) + cheapServerCost(server, route)
    }

    private fun prefill(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        affinityTarget: Boolean,
    ): Double {
        val hitShare = server.cache.hitShare(route.request.prefixBlocks)
        val expectedHitShare = if (affinityTarget) hitShare.coerceAtLeast(AFFINITY_HIT_SHARE) else hitShare
        return route.request.promptTokens * (1.0 - expectedHitShare) * pool.speed.prefillMsPerToken
    }

    /** Long resumable requests prefer cheap servers, which may be reclaimed; other requests avoid them. */
    private fun cheapServerCost(
        server: RoutedServer,
        route: RouteRequest,
    ): Double {
        if (!server.status.cheap) return 0.0
        val requestClass = route.request.requestClass
        return if (requestClass.resumable && requestClass.longOutput) -CHEAP_PREFERENCE_MS else CHEAP_PREFERENCE_MS
    }

    private const val MS_PER_SECOND = 1_000.0

    /** Share by which each stream is slower in a full batch than in an empty one, approximately. */
    private const val BATCH_SLOWDOWN = 0.4

    /**
     * Cached share that is assumed for the affinity target, so that a prompt that is not cached yet is sent to the
     * server that later requests with the same prefix will prefer.
     */
    private const val AFFINITY_HIT_SHARE = 0.5

    /** Large enough to decide between otherwise equal servers, but too small to outweigh a wait. */
    private const val CHEAP_PREFERENCE_MS = 50.0
}
