package io.tarragonport.core.gateway.balance

import io.tarragonport.api.id.ServiceId

/**
 * Classifies requests as having short or long prompts by the mean prompt length of their route.
 *
 * An engine processes prompts between the steps of its batch, so a long prompt delays every concurrent stream. A route
 * has short prompts if its mean is below [SHORT_PROMPT_RATIO] of the largest mean among the routes of its service.
 */
class PromptProfile {
    private val means = HashMap<ServiceId, HashMap<String, Double>>()

    /** Records a request on [route] of [service] with a prompt of [tokens]. */
    fun add(
        service: ServiceId,
        route: String,
        tokens: Int,
    ) {
        val serviceMeans = means.getOrPut(service) { HashMap() }
        val mean = serviceMeans[route]
        serviceMeans[route] = if (mean == null) tokens.toDouble() else mean + (tokens - mean) * SMOOTHING_FACTOR
        if (serviceMeans.size > MAX_ROUTES) serviceMeans.remove(serviceMeans.keys.first())
    }

    /** Whether requests on [route] have short prompts compared with other routes of [service]. */
    fun hasShortPrompts(
        service: ServiceId,
        route: String,
    ): Boolean {
        val serviceMeans = means[service] ?: return false
        val mean = serviceMeans[route] ?: return false
        return mean < serviceMeans.values.max() * SHORT_PROMPT_RATIO
    }

    private companion object {
        /** A prompt of a quarter of the length causes a quarter of the delay, which short chats tolerate. */
        const val SHORT_PROMPT_RATIO = 0.25

        /** Exponential moving average over about the last twenty prompts of a route. */
        const val SMOOTHING_FACTOR = 0.05
        const val MAX_ROUTES = 512
    }
}
