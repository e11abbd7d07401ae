package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.standin.fleet.ServerResponses
import io.tarragonport.tool.fault.DisturbanceLog
import io.tarragonport.wire.WireHeaders
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Records every request that is sent and checks each execution that starts at a server. */
class RequestHistory(
    private val invariants: SoakInvariants,
    private val storeDisturbances: DisturbanceLog,
) {
    private val requestsById = ConcurrentHashMap<String, SoakRequest>()

    /** The requests sent so far. */
    val requests: Collection<SoakRequest> get() = requestsById.values

    fun recordSent(request: SoakRequest) {
        requestsById[request.id] = request
    }

    /** Records a response which states that [request] has not been executed and never will be. */
    fun recordRefusal(request: SoakRequest) {
        if (request.kind.repeatable) return
        val executions =
            synchronized(request) {
                request.refused = true
                request.executions
            }
        invariants.notExecuted.observe(executions == 0) {
            "${request.id} was reported as not executed after $executions executions"
        }
    }

    /** Records that [server] starts to execute [call]; null if no caller sent it. */
    internal fun recordExecution(
        call: ReceivedCall,
        server: SoakServer,
    ): SoakRequest? {
        val id = ServerResponses.requestId(call)
        val request = id?.let { requestsById[it] }
        invariants.requestUnchanged.observe(request != null) { "no caller sent request $id" }
        if (request == null) return null
        val (executions, refused) =
            synchronized(request) {
                request.executions++
                request.executions to request.refused
            }
        if (!request.kind.repeatable) {
            invariants.atMostOnce.observe(executions <= 1) { "execution $executions of $id started at ${server.id}" }
            if (refused) invariants.notExecuted.observe(false) { "$id was executed after its refusal" }
        }
        checkContent(request, call)
        checkTimes(request, server)
        return request
    }

    private fun checkContent(
        request: SoakRequest,
        call: ReceivedCall,
    ) {
        val sameBody = call.body.decodeToString() == request.body
        val remainingMs = call.headers[WireHeaders.REMAINING_TIME.lowercase()]?.toDoubleOrNull()
        val remainingInRange = remainingMs != null && remainingMs <= request.callerTimeoutMs + TIMEOUT_TOLERANCE_MS
        val same = call.method == request.kind.method && call.target == request.target && sameBody
        invariants.requestUnchanged.observe(same && remainingInRange) {
            "${request.id}: ${call.method} ${call.target}, same body $sameBody, remaining time $remainingMs ms"
        }
        val receivedKey = call.headers[WireHeaders.KEY.lowercase()]
        val organisation = call.headers[WireHeaders.ORGANISATION.lowercase()]
        invariants.organisation.observe(receivedKey == null && organisation == request.key?.organisation) {
            "${request.id}: key $receivedKey, organisation $organisation, expected ${request.key?.organisation}"
        }
    }

    private fun checkTimes(
        request: SoakRequest,
        server: SoakServer,
    ) {
        checkWithdrawn(request)
        checkLeaving(request, server)
        checkDisconnected(request)
    }

    private fun checkWithdrawn(request: SoakRequest) {
        val withdrawnAt = request.key?.withdrawnAt ?: return
        val age = request.sentAt - withdrawnAt
        if (age > CONFIGURATION_CHANGE_LIMIT && undisturbedSince(withdrawnAt, request)) {
            invariants.withdrawnKeys.observe(false) {
                "${request.id} was executed with a key that was withdrawn $age before the request"
            }
        }
    }

    private fun checkLeaving(
        request: SoakRequest,
        server: SoakServer,
    ) {
        val leavingSince = server.leavingSince ?: return
        val elapsed = leavingSince.elapsedNow()
        if (elapsed > DRAIN_LIMIT && undisturbedSince(leavingSince, request)) {
            invariants.leaving.observe(false) {
                "${request.id} reached ${server.id} $elapsed after the server started draining"
            }
        }
    }

    private fun checkDisconnected(request: SoakRequest) {
        val disconnectedAt = request.disconnectedAt ?: return
        val elapsed = disconnectedAt.elapsedNow()
        if (elapsed > DISCONNECT_LIMIT && !request.vm.disturbedSince(disconnectedAt - STABLE_TIME)) {
            invariants.disconnected.observe(false) {
                "execution of ${request.id} started $elapsed after its caller disconnected"
            }
        }
    }

    /** Time limits apply only while the store and the request's VM are undisturbed. */
    private fun undisturbedSince(
        start: ComparableTimeMark,
        request: SoakRequest,
    ): Boolean = !storeDisturbances.anySince(start - STABLE_TIME) && !request.vm.disturbedSince(start - STABLE_TIME)

    companion object {
        /** Time limit in the deployment configurations for a configuration change, such as the withdrawal of a key. */
        val CONFIGURATION_CHANGE_LIMIT: Duration = 2.seconds

        /** Time after which a leaving server gets no new requests, according to the deployment configurations. */
        val DRAIN_LIMIT: Duration = 2.seconds

        /** A time limit applies only if VM and store are undisturbed from this long before its start (`stable_ms`). */
        val STABLE_TIME: Duration = 3.seconds

        /** The required limit of 0.5 s, and 0.5 s more because threads of this process may wait for a processor. */
        val DISCONNECT_LIMIT: Duration = 1.seconds
        private const val TIMEOUT_TOLERANCE_MS = 500.0

        /** Current time of the clock that all checks use. */
        fun now(): ComparableTimeMark = TimeSource.Monotonic.markNow()

        /** Interval between two polls while waiting for a condition. */
        val POLL_INTERVAL: Duration = 100.milliseconds
    }
}
