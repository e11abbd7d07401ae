package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.EngineLimits
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.ServiceId
import kotlin.time.ComparableTimeMark
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
        trackedServers.values.forEach(::limitCache)
        assignShortPromptEngines()
    }

    /** Applies the registered servers; returns the servers that were removed or have restarted. */
    fun update(registered: Collection<RegisteredServer>): List<TrackedServer> {
        val present = registered.associateBy { it.id }
        val ended = trackedServers.values.filter { tracked -> ended(tracked, present[tracked.registered.id]) }
        ended.forEach { trackedServers -= it.registered.id }
        val now = clock.markNow()
        registered.forEach { server ->
            trackedServers.getOrPut(server.id) { track(server, now) }.registered = server
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

    /** Load of this VM on each server with requests of this VM in flight. */
    fun localLoads(): Map<BackendServerId, ServerLoad> =
        trackedServers
            .filterValues { it.inFlight > 0 }
            .mapValues { (_, tracked) -> ServerLoad(tracked.inFlight, tracked.unprocessedTokens) }

    /** Sets the load of the other VMs on each server. */
    fun updateOtherVmLoads(loads: Map<BackendServerId, ServerLoad>) {
        trackedServers.forEach { (id, tracked) -> tracked.otherVmLoad = loads[id] ?: ServerLoad.NONE }
    }

    private fun assignShortPromptEngines() {
        shortPromptIds =
            byService
                .filterKeys { it in engineLimits }
                .mapValues { (_, group) -> EngineGroups.shortPromptEngines(group.filter { !it.leaving }) }
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
    ) = TrackedServer(server, now).also {
        limitCache(it)
        it.leavingAnnounced = server in leavingAnnouncements
    }

    private fun limitCache(tracked: TrackedServer) {
        engineLimits[tracked.registered.service]?.let { tracked.cache.capacityTokens = it.cacheTokens }
    }
}
