package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.EngineLimits
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.fleet.FleetView
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * All backend servers with their load, owned by the traffic thread.
 *
 * A server that restarted under the same id is treated as a new server; the state tracked for the previous one is
 * discarded.
 */
class ServerTable(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val trackedServers = mutableMapOf<BackendServerId, TrackedServer>()
    private var byService: Map<ServiceId, List<TrackedServer>> = emptyMap()
    private var engineLimits: Map<ServiceId, EngineLimits> = emptyMap()
    private val leavingAnnouncements = LeavingAnnouncements()
    private var shortPromptIds: Map<ServiceId, Set<BackendServerId>> = emptyMap()
    private var coldRates: Map<ServiceId, Double> = emptyMap()
    private var evacuated: Set<FailureDomainId> = emptySet()
    private var firstUpdateAt: ComparableTimeMark? = null

    /** The VMs that share the servers. */
    var fleet = FleetView(VmId("local"))

    /** Servers of [service], including leaving ones. */
    fun servers(service: ServiceId): List<TrackedServer> = byService[service].orEmpty()

    /** All servers. */
    val all: Collection<TrackedServer> get() = trackedServers.values

    /** Limits of the engines of [service], null if it does not consist of model engines. */
    fun engineLimits(service: ServiceId): EngineLimits? = engineLimits[service]

    /** Engines of [service] that are reserved for short prompts. */
    fun shortPromptEngines(service: ServiceId): Set<BackendServerId> = shortPromptIds[service].orEmpty()

    /** Whether some engines of [service] are reserved for short prompts. */
    fun hasShortPromptEngines(service: ServiceId): Boolean = shortPromptEngines(service).isNotEmpty()

    /** Applies the services of a new configuration. */
    fun configure(services: Collection<GatewayService>) {
        engineLimits = services.mapNotNull { service -> service.engine?.let { service.id to it } }.toMap()
        coldRates = services.mapNotNull { service -> service.coldRate?.let { service.id to it } }.toMap()
        trackedServers.values.forEach(::limitCache)
        assignShortPromptEngines()
    }

    /** Applies the registered servers; returns the servers that were removed or have restarted. */
    fun update(registered: Collection<RegisteredServer>): List<TrackedServer> {
        val present = registered.associateBy { it.id }
        val ended = trackedServers.values.filter { tracked -> ended(tracked, present[tracked.registered.id]) }
        ended.forEach { trackedServers -= it.registered.id }
        val now = clock.markNow()
        val firstUpdate = firstUpdateAt ?: now.also { firstUpdateAt = it }
        registered.forEach { server ->
            val known = trackedServers[server.id]
            val tracked = known ?: track(server, now).also { trackedServers[server.id] = it }
            if (known == null && now - firstUpdate > PromptHolders.STARTUP_WINDOW) tracked.pace.starts(now)
            if (known == null || server.coldFor != tracked.registered.coldFor) setCold(tracked, server, now)
            tracked.registered = server
        }
        byService = trackedServers.values.groupBy { it.registered.service }
        assignShortPromptEngines()
        return ended
    }

    /**
     * Records that a response of [server] said that it leaves; returns false if that was already known. The incarnation
     * that [server] tracks gets no new requests from now on, even if its registration has disappeared and returned since
     * the request was sent, or does so later.
     */
    fun announceLeaving(server: TrackedServer): Boolean {
        if (!leavingAnnouncements.add(server.registered)) return false
        server.leavingAnnounced = true
        trackedServers[server.registered.id]?.let { it.leavingAnnounced = it.registered in leavingAnnouncements }
        assignShortPromptEngines()
        return true
    }

    /** Applies the failure [domains] whose servers get no new requests. */
    fun evacuate(domains: Set<FailureDomainId>) {
        evacuated = domains
        trackedServers.values.forEach { it.evacuated = it.registered.domain in domains }
        assignShortPromptEngines()
    }

    /** Load of this VM on each server with requests of this VM in flight. */
    fun localLoads(): Map<BackendServerId, ServerLoad> =
        trackedServers
            .filterValues { it.inFlight > 0 }
            .mapValues { (_, tracked) -> ServerLoad(tracked.inFlight, tracked.unprocessedTokens) }

    /** Sets the load of the other VMs on each server, as reported; a recent answer is newer than any report. */
    fun updateOtherVmLoads(loads: Map<BackendServerId, ServerLoad>) {
        val now = clock.markNow()
        trackedServers.forEach { (id, tracked) ->
            val answeredAt = tracked.loadAnsweredAt
            if (answeredAt == null || now - answeredAt > ANSWER_LIFETIME) {
                tracked.otherVmLoad = loads[id] ?: ServerLoad.NONE
            }
        }
    }

    /** Sets the load of the other VMs on some servers, as answered by the VMs that keep it. */
    fun answerOtherVmLoads(loads: Map<BackendServerId, ServerLoad>) {
        val now = clock.markNow()
        loads.forEach { (id, load) ->
            trackedServers[id]?.let {
                it.otherVmLoad = load
                it.loadAnsweredAt = now
            }
        }
    }

    /** This VM's load at the engines at which it has changed since the last call. */
    fun takeChangedLoads(): Map<BackendServerId, ServerLoad> {
        val changed = trackedServers.values.filter { it.loadChanged && it.registered.service in engineLimits }
        changed.forEach { it.loadChanged = false }
        return changed.associate { it.registered.id to it.ownLoad }
    }

    private fun assignShortPromptEngines() {
        shortPromptIds =
            byService
                .filterKeys { it in engineLimits }
                .mapValues { (_, group) ->
                    EngineGroups.shortPromptEngines(group.filter { !it.leaving && !it.evacuated })
                }
        trackedServers.values.forEach {
            it.forShortPrompts =
                it.registered.id in shortPromptEngines(it.registered.service)
        }
    }

    private fun ended(
        tracked: TrackedServer,
        current: RegisteredServer?,
    ): Boolean {
        val before = tracked.registered
        return current == null ||
            current.startedAtMs != before.startedAtMs ||
            current.address != before.address ||
            current.service != before.service
    }

    private fun track(
        server: RegisteredServer,
        now: ComparableTimeMark,
    ) = TrackedServer(server, now, ::fleet).also {
        limitCache(it)
        it.evacuated = server.domain in evacuated
        it.leavingAnnounced = server in leavingAnnouncements
    }

    private fun setCold(
        tracked: TrackedServer,
        server: RegisteredServer,
        now: ComparableTimeMark,
    ) {
        val rate = coldRates[server.service] ?: return
        tracked.pace.cold(rate, now, now + (server.coldFor ?: Duration.ZERO))
    }

    private fun limitCache(tracked: TrackedServer) {
        engineLimits[tracked.registered.service]?.let { tracked.cache.capacityTokens = it.cacheTokens }
    }

    private companion object {
        /** Age of the reports in a large fleet, which pass two relays. */
        val ANSWER_LIFETIME: Duration = 1.seconds
    }
}
