package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.api.id.RequestId
import java.util.TreeSet

/** Waiting requests of one pool by class, with the floor of each class. */
internal class PoolQueue {
    private val classes = LinkedHashMap<RequestClassId, ClassQueue>()
    private val floors = HashMap<RequestClassId, ClassFloor>()
    private val byId = HashMap<RequestId, WaitingRequest>()
    private val byLatestStart = TreeSet(compareBy<WaitingRequest>({ it.latestStart }, { it.sequence }))

    val size: Int
        get() = byId.size

    fun add(
        request: WaitingRequest,
        now: Long,
    ) {
        val requestClass = request.request.requestClass
        classes.getOrPut(requestClass.id) { ClassQueue(requestClass) }.add(request)
        floors.getOrPut(requestClass.id) { ClassFloor(requestClass) }.requestQueued(now)
        byId[request.request.id] = request
        byLatestStart.add(request)
    }

    operator fun get(id: RequestId): WaitingRequest? = byId[id]

    /** Removes a request that will not be started. */
    fun remove(request: WaitingRequest) {
        if (byId.remove(request.request.id) == null) return
        byLatestStart.remove(request)
        val queue = queue(request)
        queue.remove(request)
        if (queue.size == 0) floor(request).queueEmptied()
    }

    /** Removes a request that starts at [now], charges its organisation and counts the start for the floors. */
    fun start(
        request: WaitingRequest,
        now: Long,
    ) {
        byId.remove(request.request.id)
        byLatestStart.remove(request)
        val queue = queue(request)
        queue.start(request)
        floors.values.forEach { it.started(request.request.requestClass, now, queue.size > 0) }
    }

    /** Corrects the charge of [request] after its attempt. */
    fun correctCharge(
        request: WaitingRequest,
        actualTokens: Int,
    ) = classes[request.request.requestClass.id]?.correctCharge(request, actualTokens)

    /** A request whose latest start is before [now]. */
    fun expired(now: Long): WaitingRequest? = byLatestStart.firstOrNull()?.takeIf { it.latestStart < now }

    /** A request that has missed its first-token target while others of its class have not. */
    fun missedTarget(now: Long): WaitingRequest? = classes.values.firstNotNullOfOrNull { it.missedTarget(now) }

    /**
     * Classes with waiting requests in the order of their next start: classes below their floor first, then by tier,
     * then classes whose next request is on time, then by earliest start deadline.
     */
    fun startOrder(now: Long): List<ClassQueue> {
        val waiting = classes.values.filter { it.size > 0 }
        if (waiting.size < 2) return waiting
        return waiting.sortedWith(
            compareBy<ClassQueue>({ !isBelowFloor(it.requestClass, now) }, { it.tier })
                .thenBy { isLate(it, now) }
                .thenBy { it.head(now)?.startDeadline },
        )
    }

    /** Classes of the lowest tier that has requests waiting. */
    fun lowestTierClasses(): List<ClassQueue> {
        val waiting = classes.values.filter { it.size > 0 }
        val lowest = waiting.maxOfOrNull { it.tier } ?: return emptyList()
        return waiting.filter { it.tier == lowest }
    }

    /** Classes of tier 1 that have requests waiting. */
    fun tierOneClasses(): List<ClassQueue> = classes.values.filter { it.size > 0 && it.tier == 1 }

    /** Tokens per weight that the organisation of [request] is ahead of its fair share in its class. */
    fun overShare(request: PendingRequest): Double =
        classes[request.requestClass.id]?.overShare(request.organisation) ?: 0.0

    fun sizeByTier(): Map<Int, Int> =
        classes.values
            .groupBy {
                it.tier
            }.mapValues { (_, queues) -> queues.sumOf { it.size } }

    /** Whether the class is below its floor. */
    fun isBelowFloor(
        requestClass: RequestClass,
        now: Long,
    ): Boolean = floors[requestClass.id]?.isBelowFloor(now) ?: false

    private fun isLate(
        queue: ClassQueue,
        now: Long,
    ): Boolean = queue.head(now)?.let { !it.isOnTime(now) } ?: false

    private fun queue(request: WaitingRequest) = classes.getValue(request.request.requestClass.id)

    private fun floor(request: WaitingRequest) = floors.getValue(request.request.requestClass.id)
}
