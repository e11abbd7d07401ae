package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.core.gateway.attempt.AttemptOutcome
import io.tarragonport.core.gateway.balance.TrackedServer
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import kotlin.time.Duration

/**
 * Tells the state of a server what the result of an attempt for [request] says about it.
 *
 * A server that could not be reached, or asked for a pause, is left alone and then starts anew. One that refused a
 * request, was silent, or responded later than [latencyObjective] and than it usually does, gets requests more slowly.
 */
internal class ServerFeedback(
    private val state: TrafficState,
    private val request: CallerRequest,
    private val latencyObjective: Duration,
) {
    /** [server] refused a request and wants no others for [pause]. */
    fun paused(
        server: TrackedServer,
        pause: Duration,
    ) {
        server.restartAt(state.now() + pause)
        state.log.decision(
            GatewayEvents.SERVER_PAUSED,
            request,
            "server" to server.registered.id,
            "pause_ms" to pause.inWholeMilliseconds,
        )
    }

    /** An attempt at [server] failed. */
    fun failed(
        server: TrackedServer,
        outcome: AttemptOutcome,
    ) {
        when (outcome) {
            AttemptOutcome.NOT_CONNECTED -> {
                server.restartAt(state.now() + TrackedServer.UNREACHABLE_PAUSE)
            }

            AttemptOutcome.NOT_RUN -> {
                server.suspendUntil(state.now() + TrackedServer.FULL_PAUSE)
                slowDown(server, "refused")
            }

            AttemptOutcome.SILENT -> {
                slowDown(server, "silent")
            }

            else -> {
                Unit
            }
        }
    }

    /** [server] sent a response, or its first event, after [time]. */
    fun responded(
        server: TrackedServer,
        time: Duration,
    ) {
        val usual = server.health.responseTime
        server.health.succeeded(time, state.now())
        if (time > latencyObjective && time > usual * LATE_FACTOR) return slowDown(server, "late")
        if (!server.pace.inTime(time)) return
        state.log.decision(GatewayEvents.PACE_ENDED, request, "server" to server.registered.id)
    }

    private fun slowDown(
        server: TrackedServer,
        reason: String,
    ) {
        if (!server.pace.late(server.inFlight + 1, state.now())) return
        state.log.decision(
            GatewayEvents.PACE_BEGUN,
            request,
            "server" to server.registered.id,
            "reason" to reason,
            "limit" to server.pace.limit,
            "other_vms_in_flight" to server.otherVmLoad.inFlight,
        )
    }

    private companion object {
        /** A response that is late in comparison with the usual ones tells of a server that has slowed. */
        const val LATE_FACTOR = 2
    }
}
