package io.tarragonport.core.routing

/** Expected cost of sending a request to a server, in milliseconds. */
internal object ServerScore {
    /** [target] is set for the server to which the prompt's leading block is assigned by hashing. */
    fun of(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        load: Double,
        target: Boolean,
    ): Double {
        val slots = server.status.slots.toDouble()
        val excess = (load + 1.0 - slots).coerceAtLeast(0.0)
        val wait = excess * pool.serviceSeconds * MS_PER_SECOND / slots
        val slowdown = route.estimate.p50 * pool.speed.betweenTokensMs * BATCH_SLOWDOWN * load / slots
        return wait + slowdown + prefill(pool, server, route, target) + placement(server, route)
    }

    private fun prefill(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        target: Boolean,
    ): Double {
        val hit = server.cache.hitShare(route.request.prefixBlocks)
        val expectedHit = if (target) hit.coerceAtLeast(TARGET_HIT) else hit
        return route.request.promptTokens * (1.0 - expectedHit) * pool.speed.prefillMsPerToken
    }

    /** Long resumable requests prefer cheap servers, which may be reclaimed; other requests avoid them. */
    private fun placement(
        server: RoutedServer,
        route: RouteRequest,
    ): Double {
        if (!server.status.cheap) return 0.0
        val requestClass = route.request.requestClass
        return if (requestClass.resumable && requestClass.longOutput) -CHEAP_BONUS_MS else CHEAP_BONUS_MS
    }

    private const val MS_PER_SECOND = 1_000.0

    /** With a full batch each stream is slower by about this share than with an empty one. */
    private const val BATCH_SLOWDOWN = 0.4

    /** Sends a prompt that is not cached yet to the server that its repetitions will prefer. */
    private const val TARGET_HIT = 0.5

    /** Decides between otherwise equal servers without outweighing a wait. */
    private const val CHEAP_BONUS_MS = 50.0
}
