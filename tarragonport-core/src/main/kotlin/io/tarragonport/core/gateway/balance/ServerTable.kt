package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.EngineLimits
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.ServiceId
import kotlin.time.TimeSource

/**
 * All backend servers with their load, owned by the traffic thread.
 *
 * A server that restarted under the same id is treated as a new server; the state of the previous one is discarded.
 */
class ServerTable(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val states = mutableMapOf<BackendServerId, TrackedServer>()
    private var byService: Map<ServiceId, List<TrackedServer>> = emptyMap()
    private var engines: Map<ServiceId, EngineLimits> = emptyMap()
    private var shortPrompts: Map<ServiceId, Set<BackendServerId>> = emptyMap()

    /** Servers of [service], including leaving ones. */
    fun servers(service: ServiceId): List<TrackedServer> = byService[service].orEmpty()

    /** All servers. */
    val all: Collection<TrackedServer> get() = states.values

    /** Limits of the engines of [service], null if it does not consist of model engines. */
    fun engine(service: ServiceId): EngineLimits? = engines[service]

    /** Engines of [service] that are reserved for short prompts. */
    fun shortPromptEngines(service: ServiceId): Set<BackendServerId> = shortPrompts[service].orEmpty()

    /** Applies the services of a new configuration. */
    fun configure(services: Collection<GatewayService>) {
        engines = services.mapNotNull { service -> service.engine?.let { service.id to it } }.toMap()
        states.values.forEach(::limitCache)
        assignShortPromptEngines()
    }

    /** Applies the registered servers; returns the states of servers that were removed or have restarted. */
    fun update(registered: Collection<RegisteredServer>): List<TrackedServer> {
        val present = registered.associateBy { it.id }
        val ended = states.values.filter { state -> ended(state, present[state.registered.id]) }
        ended.forEach { states -= it.registered.id }
        val now = clock.markNow()
        registered.forEach { server ->
            states.getOrPut(server.id) { TrackedServer(server, now).also(::limitCache) }.registered = server
        }
        byService = states.values.groupBy { it.registered.service }
        assignShortPromptEngines()
        return ended
    }

    /** Load of this VM by server, without servers that have none. */
    fun ownLoads(): Map<BackendServerId, ServerLoad> =
        states
            .filterValues { it.inFlight > 0 }
            .mapValues { (_, state) -> ServerLoad(state.inFlight, state.unreadTokens) }

    /** Sets the load of the other VMs by server. */
    fun updateOthers(loads: Map<BackendServerId, ServerLoad>) {
        states.forEach { (id, state) -> state.others = loads[id] ?: ServerLoad.NONE }
    }

    private fun assignShortPromptEngines() {
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
