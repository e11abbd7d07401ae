package io.tarragonport.daemon.dispatch

import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.DispatchSettings
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.routing.ServerSubset
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/**
 * Supplies the dispatcher with the list of [servers], their load and a periodic tick.
 *
 * The servers are shared with the live VMs of [region]. A model engine that refuses connections gets no new requests
 * until it responds again. One that is not configured but was started by the platform gets none before its load report
 * lists its model.
 */
class ServerFeed(
    private val dispatcher: Dispatcher,
    private val poller: LoadPoller,
    private val configuration: ConfigurationSource,
    private val servers: StateFlow<List<ServerStatus>>,
    private val fleet: MembershipView,
    vm: VmId,
    private val region: RegionId,
) {
    private val subset = ServerSubset(vm, DispatchSettings().subsetSize)

    /** Runs until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { publishServers() }
            launch { tick() }
            launch { poller.run { engines() } }
        }

    private suspend fun publishServers() =
        combine(servers, fleet.liveVms, poller.unreachable, poller.models) { statuses, vms, unreachable, models ->
            ServerSet(
                statuses.map { if (isUsable(it, unreachable, models)) it else it.copy(leaving = true) },
                regionVms(vms),
            )
        }.distinctUntilChanged().collect { dispatcher.serversChanged(it.servers, it.liveVms) }

    private fun isUsable(
        server: ServerStatus,
        unreachable: Set<BackendServerId>,
        models: Map<BackendServerId, List<String>?>,
    ): Boolean {
        if (server.id in unreachable) return false
        val pool = configuration.current.value?.pool(server.pool) ?: return true
        val configured = pool.servers.any { it.id == server.id }
        if (configured || pool.kind != PoolKind.MODEL) return true
        return server.id in models && models[server.id]?.contains(pool.name) != false
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK)
            dispatcher.tick()
        }
    }

    /** The model engines that this VM uses. */
    private fun engines(): List<ServerStatus> {
        val current = configuration.current.value ?: return emptyList()
        val engines = servers.value.filter { current.pool(it.pool)?.kind == PoolKind.MODEL }
        val regionVms = regionVms(fleet.liveVms.value)
        return engines.groupBy { it.pool }.values.flatMap { pool -> subset.select(pool, regionVms).map { it.status } }
    }

    private fun regionVms(live: List<LiveVm>): Set<VmId> =
        live.filter { it.region == region }.mapTo(HashSet()) { it.id }

    private data class ServerSet(
        val servers: List<ServerStatus>,
        val liveVms: Set<VmId>,
    )

    private companion object {
        /** Half of the longest tick interval that the policy allows, so that a late tick is still within it. */
        val TICK = 50.milliseconds
    }
}
