package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.standin.fleet.ServerAnswers
import io.tarragonport.tool.fault.DisturbanceLog
import io.tarragonport.wire.WireHeaders
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Every request that was sent, and the checks on each run that begins at a server. */
class RunLedger(
    private val invariants: SoakInvariants,
    private val store: DisturbanceLog,
) {
    private val requests = ConcurrentHashMap<String, SoakRequest>()

    /** Requests sent so far. */
    val all: Collection<SoakRequest> get() = requests.values

    fun sent(request: SoakRequest) {
        requests[request.id] = request
    }

    /** The caller was told that [request] has not run and never will. */
    fun refused(request: SoakRequest) {
        if (request.kind.repeatable) return
        val runs =
            synchronized(request) {
                request.refused = true
                request.runs
            }
        invariants.trueRefusal.observe(runs == 0) { "${request.id} was refused after $runs runs" }
    }

    /** [server] begins to run [call]; null if nobody sent it. */
    internal fun began(
        call: ReceivedCall,
        server: SoakServer,
    ): SoakRequest? {
        val id = ServerAnswers.requestId(call)
        val request = id?.let { requests[it] }
        invariants.unchanged.observe(request != null) { "nobody sent $id" }
        if (request == null) return null
        val (runs, refused) =
            synchronized(request) {
                request.runs++
                request.runs to request.refused
            }
        if (!request.kind.repeatable) {
            invariants.atMostOnce.observe(runs <= 1) { "$id began its run $runs at ${server.id}" }
            if (refused) invariants.trueRefusal.observe(false) { "$id runs after its refusal" }
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
        val left = call.headers[WireHeaders.TIME_LEFT.lowercase()]?.toDoubleOrNull()
        val inTime = left != null && left <= request.patienceMs + MOST_EXTRA_MS
        val same = call.method == request.kind.method && call.target == request.target && sameBody
        invariants.unchanged.observe(same && inTime) {
            "${request.id}: ${call.method} ${call.target}, same body $sameBody, time left $left"
        }
        val seenKey = call.headers[WireHeaders.KEY.lowercase()]
        val organisation = call.headers[WireHeaders.ORGANISATION.lowercase()]
        invariants.organisation.observe(seenKey == null && organisation == request.key?.organisation) {
            "${request.id}: key $seenKey, organisation $organisation in place of ${request.key?.organisation}"
        }
    }

    private fun checkTimes(
        request: SoakRequest,
        server: SoakServer,
    ) {
        checkWithdrawn(request)
        checkLeaving(request, server)
        checkGone(request)
    }

    private fun checkWithdrawn(request: SoakRequest) {
        val since = request.key?.revokedAt ?: return
        val age = request.sentAt - since
        if (age > CONFIGURATION_TIME && calmSince(since, request)) {
            invariants.revoked.observe(false) { "${request.id} ran with a key withdrawn $age before" }
        }
    }

    private fun checkLeaving(
        request: SoakRequest,
        server: SoakServer,
    ) {
        val since = server.leavingSince ?: return
        val late = since.elapsedNow()
        if (late > DRAIN_TIME && calmSince(since, request)) {
            invariants.leaving.observe(false) { "${request.id} reached ${server.id} $late after it began to leave" }
        }
    }

    private fun checkGone(request: SoakRequest) {
        val since = request.leftAt ?: return
        val late = since.elapsedNow()
        if (late > GONE_TIME && !request.vm.disturbedSince(since - CALM_BEFORE)) {
            invariants.gone.observe(false) { "${request.id} began $late after its caller left" }
        }
    }

    /** Bounds in time hold only while the store and the request's VM are undisturbed. */
    private fun calmSince(
        since: ComparableTimeMark,
        request: SoakRequest,
    ): Boolean = !store.anySince(since - CALM_BEFORE) && !request.vm.disturbedSince(since - CALM_BEFORE)

    companion object {
        /** Bound of the deployments' sheets for a withdrawn key, which is a change of the configuration. */
        val CONFIGURATION_TIME: Duration = 2.seconds

        /** Bound of the deployments' sheets for leaving servers. */
        val DRAIN_TIME: Duration = 2.seconds

        /** A VM and the store must have been sound for so long before a time bound holds (`stable_ms`). */
        val CALM_BEFORE: Duration = 3.seconds

        /** Half a second by the rules, and as much again for threads of this process that wait for a processor. */
        val GONE_TIME: Duration = 1.seconds
        private const val MOST_EXTRA_MS = 500.0

        /** A mark of the clock of all checks. */
        fun now(): ComparableTimeMark = TimeSource.Monotonic.markNow()

        /** Time between two looks at something that is awaited. */
        val POLL: Duration = 100.milliseconds
    }
}
