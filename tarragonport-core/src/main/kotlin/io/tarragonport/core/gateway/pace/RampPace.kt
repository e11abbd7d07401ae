package io.tarragonport.core.gateway.pace

import kotlin.math.log2
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Limits the requests of this VM in flight at a server whose capacity is not known: one that has just started or
 * recovered, or that refused requests or did not respond in time.
 *
 * The limit grows by one with each response in time, so it doubles within one response time, and is halved by a refusal
 * or a late response, at most once in a response time. Below one it becomes an interval between single requests, so that
 * a slow server keeps some work and can show that it has recovered. It ends at this VM's share of the server's slots.
 *
 * A server that starts again would get its first requests from all VMs at once. The VMs therefore begin in the order of
 * the server, a quarter of its slots at first and twice as many after each [responseTime].
 */
class RampPace private constructor(
    private val share: Double,
    private val responseTime: Duration,
    private var opensAt: ComparableTimeMark,
    limit: Double,
) {
    /** Requests that this VM may have in flight; below one, the share of the time in which one may be in flight. */
    var limit = limit
        private set

    /** Whether the limit has reached this VM's share, so that it is no longer needed. */
    val ended: Boolean get() = limit >= share
    private var decreasedAt: ComparableTimeMark? = null

    /** Whether another request may be sent at [now] while [inFlight] are in flight. */
    fun allows(
        inFlight: Int,
        now: ComparableTimeMark,
    ): Boolean = now >= opensAt && inFlight < maxOf(limit, 1.0)

    /** Records that a request is sent at [now]. */
    fun sent(now: ComparableTimeMark) {
        if (limit < 1) opensAt = now + responseTime / limit
    }

    /** Records a response in time. */
    fun inTime() {
        limit = if (limit < 1) minOf(limit * 2, 1.0) else limit + 1
    }

    /** Records a refusal or a late response at [now]. */
    fun late(now: ComparableTimeMark) {
        val last = decreasedAt
        if (last != null && now - last < responseTime) return
        decreasedAt = now
        limit = maxOf(limit / 2, MINIMUM_LIMIT)
    }

    companion object {
        /** One request in eight response times, so that a server that recovers is found within about a second. */
        const val MINIMUM_LIMIT = 0.125

        /** Part of the slots that a starting server gets at once, as long as nothing is known of its speed. */
        private const val FIRST_SHARE = 0.25

        /** The pace of a server with [slots] that starts or recovers at [at]. */
        fun starting(
            slots: Int,
            turn: FleetTurn,
            responseTime: Duration,
            at: ComparableTimeMark,
        ): RampPace {
            val first = maxOf(slots * FIRST_SHARE, 1.0)
            val doublings = log2((turn.rank + 1) / first).coerceAtLeast(0.0)
            return RampPace(share(slots, turn), responseTime, at + responseTime * doublings, limit = 1.0)
        }

        /** The pace of a server with [slots] that refused a request, or was late, with [inFlight] requests in flight. */
        fun slowing(
            slots: Int,
            turn: FleetTurn,
            responseTime: Duration,
            inFlight: Int,
            now: ComparableTimeMark,
        ): RampPace =
            RampPace(share(slots, turn), responseTime, now, maxOf(inFlight, 1).toDouble()).also { it.late(now) }

        private fun share(
            slots: Int,
            turn: FleetTurn,
        ): Double = maxOf(slots.toDouble() / turn.vms, 1.0) + 1
    }
}
