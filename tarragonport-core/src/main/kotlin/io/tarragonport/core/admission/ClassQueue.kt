package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.OrganisationId
import java.util.TreeSet

/**
 * Waiting requests of one class, ordered by weighted start-time fair queueing of tokens among organisations.
 *
 * Each start adds its estimated tokens divided by the organisation's weight to the organisation's tag; the tag is
 * corrected when the attempt ends. An organisation that was idle joins at the virtual time, without credit or debt.
 */
internal class ClassQueue(
    val requestClass: RequestClass,
) {
    private val organisations = HashMap<OrganisationId, OrganisationQueue>()
    private val active = TreeSet(compareBy<OrganisationQueue>({ it.tag }, { it.organisation.value }))
    private val byTarget = TreeSet(compareBy<WaitingRequest>({ it.targetStart }, { it.sequence }))
    private val continued = TreeSet(compareBy<WaitingRequest>({ it.latestStart }, { it.sequence }))
    private var virtualTime = 0.0

    var size = 0
        private set

    val tier: Int
        get() = requestClass.tier.value

    fun add(request: WaitingRequest) {
        val queue =
            organisations.getOrPut(
                request.request.organisation,
            ) { OrganisationQueue(request.request.organisation) }
        if (queue.isEmpty) queue.tag = maxOf(queue.tag, virtualTime) else active.remove(queue)
        queue.add(request)
        active.add(queue)
        if (requestClass.firstTokenMs != null) byTarget.add(request)
        if (request.continued) continued.add(request)
        size++
        if (organisations.size > MAXIMUM_ORGANISATIONS) removeIdle()
    }

    fun remove(request: WaitingRequest) {
        val queue = organisations[request.request.organisation] ?: return
        queue.remove(request)
        byTarget.remove(request)
        continued.remove(request)
        if (queue.isEmpty) active.remove(queue)
        size--
    }

    /**
     * The request to start next. A request that continues an earlier attempt and has little time left comes first,
     * whichever organisation it belongs to, because the earlier work is lost unless it finishes. Then organisations
     * with requests that are on time come before those with late ones only.
     */
    fun head(now: Long): WaitingRequest? {
        continued.firstOrNull()?.takeIf { it.latestStart - now < SHORT_SLACK_NANOS }?.let { return it }
        var examined = 0
        for (queue in active) {
            val head = queue.head(now) ?: continue
            if (head.isOnTime(now)) return head
            if (++examined >= MAXIMUM_EXAMINED_ORGANISATIONS) break
        }
        return active.firstOrNull()?.head(now)
    }

    /** The first request, in the order of organisations, that may use any server. */
    fun unrestrictedHead(): WaitingRequest? = active.firstNotNullOfOrNull { it.unrestrictedHead() }

    /**
     * A request that has missed its first-token target, if others of the class can still meet theirs. Serving it would
     * make the others late as well.
     */
    fun late(now: Long): WaitingRequest? {
        if (byTarget.size < 2 || byTarget.last().targetStart < now) return null
        return byTarget.first().takeIf { it.targetStart < now }
    }

    /** Removes [request], which starts on a server, and charges the estimated tokens to its organisation. */
    fun start(request: WaitingRequest) {
        val queue = organisations.getValue(request.request.organisation)
        virtualTime = maxOf(virtualTime, queue.tag)
        charge(queue, request.estimatedTokens)
        remove(request)
    }

    /** Replaces the estimate charged for [request] by [actualTokens], its prompt and generated tokens. */
    fun correctCharge(
        request: WaitingRequest,
        actualTokens: Int,
    ) {
        val queue = organisations[request.request.organisation] ?: return
        charge(queue, actualTokens - request.estimatedTokens)
    }

    /** The organisation most over its share: the furthest ahead of the virtual time if all its requests were served. */
    fun mostOverShare(): OrganisationQueue? = active.maxByOrNull { overShare(it) }

    /** Tokens per weight that [queue] is ahead of the virtual time, including its waiting requests. */
    fun overShare(queue: OrganisationQueue): Double =
        queue.tag - virtualTime + queue.waitingTokens.toDouble() / queue.weight

    /** Tokens per weight that [organisation] is ahead of the virtual time, including its waiting requests. */
    fun overShare(organisation: OrganisationId): Double = organisations[organisation]?.let { overShare(it) } ?: 0.0

    private fun charge(
        queue: OrganisationQueue,
        tokens: Int,
    ) {
        val wasActive = active.remove(queue)
        queue.tag += tokens.toDouble() / queue.weight
        if (wasActive) active.add(queue)
    }

    private fun removeIdle() {
        organisations.values.removeIf { it.isEmpty && it.tag <= virtualTime }
    }

    private companion object {
        /** Bounds the search for a request that is on time when much of the queue is late. */
        const val MAXIMUM_EXAMINED_ORGANISATIONS = 16

        /**
         * A preempted request that has to start within this time precedes all new requests of its class. Without this
         * bound, requests at load 1.0 were resumed and then preempted again, which repeated more prefills.
         */
        const val SHORT_SLACK_NANOS = 30_000_000_000L
        const val MAXIMUM_ORGANISATIONS = 1_024
    }
}
