package io.tarragonport.core.admission

import io.tarragonport.api.id.RequestId
import io.tarragonport.core.health.StragglerDetector
import io.tarragonport.core.routing.RouteChoice
import io.tarragonport.core.routing.ServerChooser
import io.tarragonport.core.routing.SlotUse

/** Starts waiting requests, by floor and then by tier, while servers have free slots, and adds them to [attempts]. */
internal class RequestStarter(
    private val admission: RequestAdmission,
    private val chooser: ServerChooser,
    private val detector: StragglerDetector,
    private val attempts: MutableMap<RequestId, RunningRequest>,
) {
    /** Starts requests until the servers accept no more. */
    fun startAll(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ) {
        while (state.queue.size > 0) {
            if (!startNext(state, now, decisions)) break
        }
    }

    private fun startNext(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ): Boolean {
        val passedOver = ArrayList<ClassQueue>(0)
        for (classQueue in state.queue.startOrder(now)) {
            val blocked = refuseBlockedHead(state, classQueue, now)
            if (blocked != null) {
                decisions += blocked
                return true
            }
            val belowFloor = state.queue.isBelowFloor(classQueue.requestClass, now)
            val use =
                when {
                    belowFloor -> SlotUse.BELOW_FLOOR
                    passedOver.isEmpty() -> SlotUse.NORMAL
                    else -> SlotUse.NO_ENGINE_QUEUE
                }
            val (waiting, choice) = choose(state, classQueue, now, use) ?: (null to null)
            if (waiting != null && choice != null) {
                if (!belowFloor) checkFloors(state, passedOver, choice, now)
                decisions += start(state, waiting, choice, now)
                return true
            }
            if (belowFloor) passedOver += classQueue
        }
        return false
    }

    /** Refuses the head of [classQueue] if its fingerprint was blocked while it waited. */
    private fun refuseBlockedHead(
        state: PoolState,
        classQueue: ClassQueue,
        now: Long,
    ): DispatchDecision? {
        val head = classQueue.head(now) ?: return null
        return admission.refuseBlocked(head.request, head.startedBefore)?.also { state.queue.remove(head) }
    }

    /**
     * The head of [classQueue] and its server. If the head is restricted and may not use any free server, it takes the
     * first unrestricted request instead, so that a suspect or a retry does not block the others.
     */
    private fun choose(
        state: PoolState,
        classQueue: ClassQueue,
        now: Long,
        use: SlotUse,
    ): Pair<WaitingRequest, RouteChoice>? {
        val head = classQueue.head(now) ?: return null
        chooser.choose(state.serverPool, head.route, now, use)?.let { return head to it }
        if (!head.route.restricted) return null
        val unrestricted = classQueue.unrestrictedHead()?.takeUnless { admission.isSuspect(it.request) } ?: return null
        return chooser.choose(state.serverPool, unrestricted.route, now, use)?.let { unrestricted to it }
    }

    private fun checkFloors(
        state: PoolState,
        passedOver: List<ClassQueue>,
        choice: RouteChoice,
        now: Long,
    ) = passedOver.forEach { classQueue ->
        val couldStart =
            classQueue.head(now)?.let {
                chooser.allows(state.serverPool, choice.server, it.route, now, SlotUse.BELOW_FLOOR)
            }
        FloorInvariant.checkStart(classQueue.requestClass, couldStart ?: false)
    }

    private fun start(
        state: PoolState,
        waiting: WaitingRequest,
        choice: RouteChoice,
        now: Long,
    ): DispatchDecision {
        val request = waiting.request
        val cachedShare = choice.server.cache.hitShare(request.prefixBlocks)
        val uncachedTokens = (request.promptTokens * (1.0 - cachedShare)).toInt()
        val attempt = RunningRequest(waiting, state.serverPool, choice.server, now, uncachedTokens)
        detector.started(choice.server.health, choice.server.load.ownRequests == 0)
        state.queue.start(waiting, now)
        state.serverPool.started(choice.server, waiting.route, now)
        state.running += attempt
        attempts[request.id] = attempt
        return DispatchDecision.Start(request.id, choice.server.status.id, choice.candidates, choice.reason)
    }
}
