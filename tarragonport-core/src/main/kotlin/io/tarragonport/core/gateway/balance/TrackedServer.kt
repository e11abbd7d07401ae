package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.fleet.FleetView
import io.tarragonport.core.gateway.pace.FleetTurn
import io.tarragonport.core.gateway.pace.ServerPace
import io.tarragonport.core.routing.RendezvousHash
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/**
 * State of one backend server as tracked by this VM.
 *
 * [firstSeen] is when the server was first registered here. [fleet] returns the VMs that share the server.
 */
class TrackedServer(
    registered: RegisteredServer,
    val firstSeen: ComparableTimeMark,
    private val fleet: () -> FleetView = { FleetView(VmId("local")) },
) {
    /** The latest registration of the server. */
    var registered: RegisteredServer = registered
        internal set

    /** Whether a response of this incarnation of the server said that it leaves. */
    var leavingAnnounced = false
        internal set

    /** Whether the server must get no new requests, by its registration or by its own responses. */
    val leaving: Boolean get() = registered.leaving || leavingAnnounced

    /** Whether the operator requested that the server's failure domain be evacuated. */
    var evacuated = false
        internal set

    /** Hash of the server's id for rendezvous hashing. */
    val idHash: Long = RendezvousHash.of(registered.id.value)

    /** Whether the server is reserved for short prompts; see [EngineGroups]. */
    var forShortPrompts = false
        internal set

    /** Requests of this VM in flight at the server. */
    var inFlight = 0
        private set

    /** Prompt tokens of this VM's requests that have not received a first event yet. */
    var unprocessedTokens = 0L
        private set

    /** Estimate of the prompt parts in the server's cache. */
    val cache = PromptCacheEstimate()

    /** Recent failures and response times. */
    val health = ServerHealthEstimate()

    /** Load of the other VMs at the server, as last reported or answered. */
    var otherVmLoad: ServerLoad = ServerLoad.NONE
        internal set

    /** When another VM last answered a question for the load of the other VMs; null if none did. */
    var loadAnsweredAt: ComparableTimeMark? = null
        internal set

    /** Whether this VM's load at the server has changed since it was last passed on. */
    var loadChanged = false
        internal set

    /** Pace of this VM's requests to the server. */
    val pace =
        ServerPace(registered.slots.coerceAtLeast(1)) {
            val vms = fleet()
            FleetTurn(vms.rank(idHash), vms.size)
        }

    /** Load of this VM at the server. */
    val ownLoad: ServerLoad get() = ServerLoad(inFlight, unprocessedTokens)

    /** End of the suspension after the server could not be reached or refused a request because it was full. */
    var suspendedUntil: ComparableTimeMark? = null
        private set

    /** Requests of all VMs in flight at the server. */
    val totalInFlight: Int get() = inFlight + otherVmLoad.inFlight

    /** Unprocessed prompt tokens of all VMs at the server. */
    val totalUnprocessedTokens: Long get() = unprocessedTokens + otherVmLoad.unprocessedTokens

    /** Whether the server may receive requests at [now]. */
    fun open(now: ComparableTimeMark): Boolean = !leaving && !evacuated && reachable(now) && pace.allows(inFlight, now)

    /** Whether the server is reachable as far as known and has had no recent failures. */
    fun healthy(now: ComparableTimeMark): Boolean = reachable(now) && health.penalty(now) < HEALTHY_PENALTY_LIMIT

    private fun reachable(now: ComparableTimeMark): Boolean = suspendedUntil?.let { it <= now } ?: true

    /** Excludes the server from selection until [until]; an earlier end than that of a suspension has no effect. */
    fun suspendUntil(until: ComparableTimeMark) {
        if (suspendedUntil.let { it == null || it < until }) suspendedUntil = until
    }

    /** Excludes the server until [until], after which its work begins again as that of a server that starts. */
    fun restartAt(until: ComparableTimeMark) {
        suspendUntil(until)
        pace.starts(until)
    }

    /** Records that a request was sent for which the server has to process [tokens]. */
    fun recordSent(tokens: Int) {
        inFlight++
        unprocessedTokens += tokens
        loadChanged = true
    }

    /** Records the first event of a request whose [tokens] the server has processed. */
    fun recordFirstEvent(tokens: Int) {
        unprocessedTokens -= tokens
        loadChanged = true
    }

    /** Records the end of a request. */
    fun recordEnd() {
        inFlight--
        loadChanged = true
        check(inFlight >= 0) { "server ${registered.id} has $inFlight requests in flight" }
    }

    companion object {
        /** Penalty of one failure after half of its weight has decayed. */
        private const val HEALTHY_PENALTY_LIMIT = 2.0

        /** Suspension after a refusal by a full server: a few batch steps. */
        val FULL_PAUSE = 50.milliseconds

        /** Suspension after a failed connection: a restart takes seconds, a full accept backlog clears sooner. */
        val UNREACHABLE_PAUSE = 500.milliseconds
    }
}
