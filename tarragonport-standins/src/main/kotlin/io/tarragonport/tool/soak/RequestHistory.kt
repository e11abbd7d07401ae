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
    private val store: DisturbanceLog,
) {
    private val requests = ConcurrentHashMap<String, SoakRequest>()

    /** All requests sent so far. */
    val all: Collection<SoakRequest> get() = requests.values

    fun recordSent(request: SoakRequest) {
        requests[request.id] = request
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
        val request = id?.let { requests[it] }
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
        val remainingTime = call.headers[WireHeaders.REMAINING_TIME.lowercase()]?.toDoubleOrNull()
        val inTime = remainingTime != null && remainingTime <= request.callerTimeoutMs + MAXIMUM_EXTRA_MS
        val same = call.method == request.kind.method && call.target == request.target && sameBody
        invariants.requestUnchanged.observe(same && inTime) {
            "${request.id}: ${call.method} ${call.target}, same body $sameBody, time left $remainingTime"
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
        val since = request.key?.withdrawnAt ?: return
        val age = request.sentAt - since
        if (age > CONFIGURATION_LIMIT && undisturbedSince(since, request)) {
            invariants.withdrawnKeys.observe(false) { "${request.id} was executed with a key withdrawn $age before" }
        }
    }

    private fun checkLeaving(
        request: SoakRequest,
        server: SoakServer,
    ) {
        val since = server.leavingSince ?: return
        val late = since.elapsedNow()
        if (late > DRAIN_LIMIT && undisturbedSince(since, request)) {
            invariants.leaving.observe(false) {
                "${request.id} reached ${server.id} $late after the server started draining"
            }
        }
    }

    private fun checkDisconnected(request: SoakRequest) {
        val since = request.disconnectedAt ?: return
        val late = since.elapsedNow()
        if (late > DISCONNECT_TIME && !request.vm.disturbedSince(since - STABLE_TIME)) {
            invariants.disconnected.observe(false) {
                "execution of ${request.id} started $late after its caller disconnected"
            }
        }
    }

    /** Time limits apply only while the store and the request's VM are undisturbed. */
    private fun undisturbedSince(
        since: ComparableTimeMark,
        request: SoakRequest,
    ): Boolean = !store.anySince(since - STABLE_TIME) && !request.vm.disturbedSince(since - STABLE_TIME)

    companion object {
        /** Limit in the deployment configurations for a configuration change, which includes a withdrawn key. */
        val CONFIGURATION_LIMIT: Duration = 2.seconds

        /** Limit in the deployment configurations for leaving servers. */
        val DRAIN_LIMIT: Duration = 2.seconds

        /** A VM and the store must have been undisturbed for this long before a time limit applies (`stable_ms`). */
        val STABLE_TIME: Duration = 3.seconds

        /** The required limit of 0.5 s, and 0.5 s more because threads of this process may wait for a processor. */
        val DISCONNECT_TIME: Duration = 1.seconds
        private const val MAXIMUM_EXTRA_MS = 500.0

        /** Current time of the clock that all checks use. */
        fun now(): ComparableTimeMark = TimeSource.Monotonic.markNow()

        /** Interval between two polls while waiting for a condition. */
        val POLL_INTERVAL: Duration = 100.milliseconds
    }
}
