package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.OrganisationId
import java.util.TreeSet

/**
 * Waiting requests of one class, ordered by weighted start-time fair queueing of tokens among organisations.
 *
 * Each start adds its estimated tokens divided by the organisation's weight to the organisation's tag, which is
 * corrected when the attempt ends. Organisations start in the order of their tags, lowest first. An organisation that
 * was idle joins at the virtual time, without credit or debt.
 */
internal class ClassQueue(
    val requestClass: RequestClass,
) {
    private val organisations = HashMap<OrganisationId, OrganisationQueue>()
    private val active = TreeSet(compareBy<OrganisationQueue>({ it.tag }, { it.organisation.value }))
    private val byLatestStartForTarget =
        TreeSet(compareBy<WaitingRequest>({ it.latestStartForTarget }, { it.sequence }))
    private val resumedByLatestStart = TreeSet(compareBy<WaitingRequest>({ it.latestStart }, { it.sequence }))
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
        if (requestClass.firstTokenMs != null) byLatestStartForTarget.add(request)
        if (request.resumed) resumedByLatestStart.add(request)
        size++
        if (organisations.size > MAXIMUM_ORGANISATIONS) removeIdle()
    }

    fun remove(request: WaitingRequest) {
        val queue = organisations[request.request.organisation] ?: return
        queue.remove(request)
        byLatestStartForTarget.remove(request)
        resumedByLatestStart.remove(request)
        if (queue.isEmpty) active.remove(queue)
        size--
    }

    /**
     * The request to start next. A request that resumes an earlier attempt and has little time left comes first,
     * whichever organisation it belongs to, because the earlier work is lost unless it finishes. Otherwise
     * organisations with a request that is on time precede those that have none.
     */
    fun head(now: Long): WaitingRequest? {
        resumedByLatestStart.firstOrNull()?.takeIf { it.latestStart - now < SHORT_SLACK_NANOS }?.let { return it }
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
     * make the others miss theirs as well.
     */
    fun missedTarget(now: Long): WaitingRequest? {
        if (byLatestStartForTarget.size < 2 || byLatestStartForTarget.last().latestStartForTarget < now) return null
        return byLatestStartForTarget.first().takeIf { it.latestStartForTarget < now }
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
         * A resumed request that has to start within this time precedes all other requests of its class. Without the
         * time limit, requests were resumed and then preempted again at load 1.0, which repeated more prefills.
         */
        const val SHORT_SLACK_NANOS = 30_000_000_000L
        const val MAXIMUM_ORGANISATIONS = 1_024
    }
}
