package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.EngineLimits
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.ServiceId
import kotlin.time.TimeSource

/**
 * All backend servers with their load, as the traffic thread knows them.
 *
 * A server that started again under its old id is a new server: it keeps nothing of what was known of the old one.
 */
class ServerTable(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val states = mutableMapOf<BackendServerId, TrackedServer>()
    private var byService: Map<ServiceId, List<TrackedServer>> = emptyMap()
    private var engines: Map<ServiceId, EngineLimits> = emptyMap()
    private var shortPrompts: Map<ServiceId, Set<BackendServerId>> = emptyMap()

    /** Servers of [service], leaving ones included. */
    fun servers(service: ServiceId): List<TrackedServer> = byService[service].orEmpty()

    /** All servers. */
    val all: Collection<TrackedServer> get() = states.values

    /** Whether [service] consists of model engines. */
    fun engine(service: ServiceId): EngineLimits? = engines[service]

    /** Engines of [service] that are meant for short prompts. */
    fun shortPromptEngines(service: ServiceId): Set<BackendServerId> = shortPrompts[service].orEmpty()

    /** Takes the services of a new configuration. */
    fun configure(services: Collection<GatewayService>) {
        engines = services.mapNotNull { service -> service.engine?.let { service.id to it } }.toMap()
        states.values.forEach(::limitCache)
        divide()
    }

    /** Takes the registered servers; returns the states of those that are gone or have started again. */
    fun update(registered: Collection<RegisteredServer>): List<TrackedServer> {
        val present = registered.associateBy { it.id }
        val ended = states.values.filter { state -> ended(state, present[state.registered.id]) }
        ended.forEach { states -= it.registered.id }
        val now = clock.markNow()
        registered.forEach { server ->
            states.getOrPut(server.id) { TrackedServer(server, now).also(::limitCache) }.registered = server
        }
        byService = states.values.groupBy { it.registered.service }
        divide()
        return ended
    }

    /** What this VM has at servers, without those where it has nothing. */
    fun ownLoads(): Map<BackendServerId, ServerLoad> =
        states
            .filterValues { it.inFlight > 0 }
            .mapValues { (_, state) -> ServerLoad(state.inFlight, state.unreadTokens) }

    /** Takes what the other VMs have at the servers. */
    fun updateOthers(loads: Map<BackendServerId, ServerLoad>) {
        states.forEach { (id, state) -> state.others = loads[id] ?: ServerLoad.NONE }
    }

    private fun divide() {
        shortPrompts =
            byService
                .filterKeys { it in engines }
                .mapValues { (_, states) -> EngineGroups.shortPromptEngines(states.filter { !it.registered.leaving }) }
    }

    private fun ended(
        state: TrackedServer,
        now: RegisteredServer?,
    ): Boolean {
        val before = state.registered
        return now == null ||
            now.startedAtMs != before.startedAtMs ||
            now.address != before.address ||
            now.service != before.service
    }

    private fun limitCache(state: TrackedServer) {
        engines[state.registered.service]?.let { state.cache.capacityTokens = it.cacheTokens }
    }
}
