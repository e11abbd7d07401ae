package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.core.routing.RendezvousHash
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** What this VM knows of one backend server that it sends requests to; [knownSince] is when it heard of it first. */
class TrackedServer(
    registered: RegisteredServer,
    val knownSince: ComparableTimeMark,
) {
    /** The server's newest registration. */
    var registered: RegisteredServer = registered
        internal set

    /** Hash of the server's id for rendezvous hashing. */
    val idHash: Long = RendezvousHash.of(registered.id.value)

    /** Requests of this VM at the server. */
    var inFlight = 0
        private set

    /** Prompt tokens of this VM's requests that the server has not answered with a first event yet. */
    var unreadTokens = 0L
        private set

    /** Prompt parts that the server is believed to keep. */
    val cache = PromptCacheView()

    /** Recent failures and the time of answers. */
    val health = ServerHealthView()

    /** What the other VMs have at the server, as they said last. */
    var others: ServerLoad = ServerLoad.NONE
        internal set

    /** Until when no request is sent because the server could not be reached or refused for lack of room. */
    var closedUntil: ComparableTimeMark? = null
        private set

    /** Requests of all VMs at the server. */
    val allInFlight: Int get() = inFlight + others.inFlight

    /** Unread prompt tokens of all VMs at the server. */
    val allUnreadTokens: Long get() = unreadTokens + others.unreadTokens

    /** Whether the server may get a request at [now]. */
    fun open(now: ComparableTimeMark): Boolean = !registered.leaving && reachable(now)

    /** Whether the server answers, as far as is known, and has not failed lately. */
    fun sound(now: ComparableTimeMark): Boolean = reachable(now) && health.penalty(now) < SOUND_PENALTY

    private fun reachable(now: ComparableTimeMark): Boolean = closedUntil?.let { it <= now } ?: true

    /** Keeps requests away from the server until [until]. */
    fun suspendUntil(until: ComparableTimeMark) {
        closedUntil = until
    }

    /** A request with [tokens] that the server has to read was sent. */
    fun started(tokens: Int) {
        inFlight++
        unreadTokens += tokens
    }

    /** The server has read [tokens] of a request and begun to answer it. */
    fun firstEvent(tokens: Int) {
        unreadTokens -= tokens
    }

    /** A request ended. */
    fun ended() {
        inFlight--
        check(inFlight >= 0) { "server ${registered.id} has $inFlight requests in flight" }
    }

    companion object {
        /** One failure whose weight has fallen to a half. */
        private const val SOUND_PENALTY = 2.0

        /** Pause after a refusal for lack of room: a few steps of a batch. */
        val FULL_PAUSE = 50.milliseconds

        /** Pause after a connection could not be opened: a restarted server needs seconds, a full backlog less. */
        val UNREACHABLE_PAUSE = 500.milliseconds
    }
}
