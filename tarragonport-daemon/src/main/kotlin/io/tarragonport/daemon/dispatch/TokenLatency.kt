package io.tarragonport.daemon.dispatch

import io.tarragonport.api.configuration.RequestClass
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark

/**
 * Measures the latency objectives of one response: time to the first token and mean time between tokens. Confined to
 * one coroutine.
 */
class TokenLatency {
    private var firstDelay: Duration? = null
    private var lastToken: TimeMark? = null
    private var gaps = 0
    private var gapSum = Duration.ZERO

    /**
     * Records a token of a request that arrived at [arrival]; returns the time since the previous token, null for the
     * first token.
     */
    fun token(
        arrival: TimeMark,
        now: TimeMark,
    ): Duration? {
        val previousToken = lastToken
        lastToken = now
        if (previousToken == null) {
            firstDelay = arrival.elapsedNow()
            return null
        }
        val gap = previousToken.elapsedNow()
        gaps++
        gapSum += gap
        return gap
    }

    /** True if the response met the latency objectives of [requestClass]; a response without tokens meets them. */
    fun meets(requestClass: RequestClass): Boolean {
        val first = requestClass.firstTokenMs?.milliseconds ?: Duration.INFINITE
        val between = requestClass.betweenTokensMs?.milliseconds ?: Duration.INFINITE
        val mean = if (gaps == 0) Duration.ZERO else gapSum / gaps
        return (firstDelay ?: Duration.ZERO) <= first && mean <= between
    }
}
