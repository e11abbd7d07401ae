package io.tarragonport.core.gateway.pace

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Pace of the requests of this VM to one server with [slots]: a ramp while its capacity is not known, and the rate of a
 * cold server; without a limit otherwise.
 */
class ServerPace(
    private val slots: Int,
    private val turn: () -> FleetTurn,
) {
    private var ramp: RampPace? = null
    private var cold: ColdPace? = null
    private var coldUntil: ComparableTimeMark? = null

    /** Moving average of the server's response times in time, by which the ramp advances. */
    private var responseTime: Duration = INITIAL_RESPONSE_TIME

    /** Requests that this VM may have in flight at the server; null if the pace does not limit them. */
    val limit: Double? get() = ramp?.limit

    /** Whether the server is cold at [now]. */
    fun isCold(now: ComparableTimeMark): Boolean = coldUntil.let { it != null && now < it }

    /** Whether another request may be sent at [now] while [inFlight] are in flight. */
    fun allows(
        inFlight: Int,
        now: ComparableTimeMark,
    ): Boolean {
        val coldPace = cold
        if (coldPace != null && isCold(now)) return coldPace.allows(now)
        return ramp?.allows(inFlight, now) ?: true
    }

    /** The server starts or recovers at [at]. */
    fun starts(at: ComparableTimeMark) {
        ramp = RampPace.starting(slots, turn(), responseTime, at)
    }

    /** The server is cold until [until] and takes [rate] requests a second from all VMs. */
    fun cold(
        rate: Double,
        now: ComparableTimeMark,
        until: ComparableTimeMark,
    ) {
        if (!isCold(now)) cold = ColdPace(rate, turn(), now)
        coldUntil = until
    }

    /** Records that a request is sent at [now]. */
    fun sent(now: ComparableTimeMark) {
        if (isCold(now)) cold?.sent(now)
        ramp?.sent(now)
    }

    /** Records a response after [time]; returns whether the pace ended with it. */
    fun inTime(time: Duration): Boolean {
        responseTime = (responseTime + (time - responseTime) * SMOOTHING_FACTOR).coerceAtLeast(SHORTEST_RESPONSE_TIME)
        val current = ramp ?: return false
        current.inTime()
        if (current.ended) ramp = null
        return current.ended
    }

    /** Records a refusal or a late response with [inFlight] requests in flight; returns whether the pace began with it. */
    fun late(
        inFlight: Int,
        now: ComparableTimeMark,
    ): Boolean {
        val current = ramp
        if (current == null) ramp = RampPace.slowing(slots, turn(), responseTime, inFlight, now) else current.late(now)
        return current == null
    }

    private companion object {
        /** Between a plain service and the first event of a chat, until a response has been measured. */
        val INITIAL_RESPONSE_TIME: Duration = 100.milliseconds

        /** Keeps the ramp longer than the time in which refusals sent together arrive. */
        val SHORTEST_RESPONSE_TIME: Duration = 20.milliseconds

        /** Exponential moving average over about eight responses. */
        const val SMOOTHING_FACTOR = 0.12
    }
}
