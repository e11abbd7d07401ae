package io.tarragonport.core.gateway.balance

import io.tarragonport.api.id.ServiceId

/**
 * Tells requests with short prompts from those with long ones, by the mean prompt of each route.
 *
 * An engine reads prompts between the steps of its batch: a long prompt delays every stream that runs beside it. Routes
 * whose mean prompt is under [SHORT_SHARE] of the longest mean of the same service count as short.
 */
class PromptProfile {
    private val means = HashMap<ServiceId, HashMap<String, Double>>()

    /** A request on [route] of [service] has a prompt of [tokens]. */
    fun add(
        service: ServiceId,
        route: String,
        tokens: Int,
    ) {
        val own = means.getOrPut(service) { HashMap() }
        val before = own[route]
        own[route] = if (before == null) tokens.toDouble() else before + (tokens - before) * WEIGHT_OF_NEWEST
        if (own.size > MOST_ROUTES) own.remove(own.keys.first())
    }

    /** Whether requests on [route] have short prompts beside those of other routes. */
    fun short(
        service: ServiceId,
        route: String,
    ): Boolean {
        val own = means[service] ?: return false
        val mean = own[route] ?: return false
        return mean < own.values.max() * SHORT_SHARE
    }

    private companion object {
        /** Reading a prompt of a quarter delays other streams by a quarter, which quick chats still allow. */
        const val SHORT_SHARE = 0.25

        /** Averages over about the last twenty prompts of a route. */
        const val WEIGHT_OF_NEWEST = 0.05
        const val MOST_ROUTES = 512
    }
}
