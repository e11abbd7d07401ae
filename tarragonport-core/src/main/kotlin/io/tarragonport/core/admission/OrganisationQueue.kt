package io.tarragonport.core.admission

import io.tarragonport.api.id.OrganisationId
import java.util.TreeMap

/** Waiting requests of one organisation in one class, with its fair-queueing tag. */
internal class OrganisationQueue(
    val organisation: OrganisationId,
) {
    private val waiting = TreeMap<StartKey, WaitingRequest>()

    /** Tokens per weight that this organisation has been charged, on the scale of the class's virtual time. */
    var tag = 0.0

    /** Estimated tokens of the waiting requests. */
    var waitingTokens = 0L
        private set

    var weight = 1
        private set

    val isEmpty: Boolean
        get() = waiting.isEmpty()

    fun add(request: WaitingRequest) {
        waiting[key(request)] = request
        waitingTokens += request.estimatedTokens
        weight = request.request.organisationWeight.coerceAtLeast(1)
    }

    fun remove(request: WaitingRequest) {
        if (waiting.remove(key(request)) != null) waitingTokens -= request.estimatedTokens
    }

    /**
     * The request to start next: one that resumes an earlier attempt, else the earliest that is on time at [now],
     * else the earliest.
     */
    fun head(now: Long): WaitingRequest? {
        val first = waiting.firstEntry()?.value ?: return null
        if (first.isOnTime(now)) return first
        return waiting.ceilingEntry(StartKey(resumed = false, now, 0))?.value ?: first
    }

    /** The earliest request that may use any server. */
    fun unrestrictedHead(): WaitingRequest? = waiting.values.firstOrNull { !it.route.restricted }

    /** The request that would start last. */
    fun last(): WaitingRequest? = waiting.lastEntry()?.value

    private fun key(request: WaitingRequest) = StartKey(request.resumed, request.startDeadline, request.sequence)
}
