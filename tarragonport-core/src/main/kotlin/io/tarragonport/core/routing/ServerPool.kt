package io.tarragonport.core.routing

import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.admission.SlotShare
import io.tarragonport.core.estimate.ServiceSpeed
import kotlin.math.ceil
import kotlin.math.roundToInt

/** The servers of one pool that this VM uses, with the slots that it may use and the speed of the pool. */
internal class ServerPool(
    private val subset: ServerSubset,
) {
    private val byId = LinkedHashMap<BackendServerId, RoutedServer>()

    /** Servers outside the subset on which requests of this VM still run. */
    private var formerServers: Map<BackendServerId, RoutedServer> = emptyMap()

    /** Mean number of other VMs that send to the same server. */
    var meanPeers = 0.0
        private set

    val speed = ServiceSpeed()
    var servers: List<RoutedServer> = emptyList()
        private set
    var running = 0
        private set
    var longRunning = 0
        private set

    /** Average run time of a request in seconds. */
    var serviceSeconds = INITIAL_SERVICE_SECONDS
        private set

    /** Long requests may wait in an engine's queue while this VM has fewer requests than this on the pool's servers. */
    var requestCap = 0
        private set

    /**
     * Maximum number of requests with long output of this VM on the pool's servers, except idle slots and a class below
     * its floor.
     */
    var longRequestCap = 0
        private set

    fun update(
        statuses: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ) {
        val selected = subset.select(statuses, liveVms)
        val previous = formerServers + byId
        byId.clear()
        selected.forEach { (status, vmCount) ->
            val ownSlots = SlotShare.of(status.slots, vmCount)
            val server = previous[status.id] ?: RoutedServer(status, ownSlots)
            if (server.status.leaving && !status.leaving) server.draining = false
            server.status = status
            server.ownSlots = ownSlots
            byId[status.id] = server
        }
        updateFormerServers(previous, statuses)
        servers = byId.values.toList()
        meanPeers = if (selected.isEmpty()) 0.0 else selected.sumOf { it.vmCount }.toDouble() / selected.size - 1.0
        val ownShare =
            selected
                .filter { byId.getValue(it.status.id).leaving.not() }
                .sumOf { it.status.slots.toDouble() / it.vmCount }
        requestCap = ceil(ownShare * OVERCOMMIT).toInt().coerceAtLeast(1)
        longRequestCap = (ownShare * RoutedServer.LONG_SLOT_SHARE).roundToInt().coerceAtLeast(1)
    }

    /** Mean number of requests on a server according to the last reports. */
    var meanReportedRequests = 0.0
        private set

    fun reported(
        server: RoutedServer,
        report: LoadReport,
        now: Long,
    ) {
        server.load.report(report, now)
        meanReportedRequests = servers.sumOf { it.load.reportedRequests }.toDouble() / servers.size.coerceAtLeast(1)
    }

    fun server(id: BackendServerId): RoutedServer? = byId[id]

    fun started(
        server: RoutedServer,
        route: RouteRequest,
        now: Long,
    ) {
        running++
        server.load.started(now)
        server.cache.sent(route.request.prefixBlocks)
        if (route.suspect) server.suspectsRunning++
        if (route.long) {
            longRunning++
            server.longRunning++
        }
    }

    fun ended(
        server: RoutedServer,
        route: RouteRequest,
        now: Long,
        seconds: Double,
    ) {
        running--
        server.load.ended(now)
        if (route.suspect) server.suspectsRunning--
        if (route.long) {
            longRunning--
            server.longRunning--
        }
        serviceSeconds += (seconds - serviceSeconds) * SERVICE_SMOOTHING
    }

    /** Updates the status of former servers, so that streams on them are moved when such a server leaves. */
    private fun updateFormerServers(
        previous: Map<BackendServerId, RoutedServer>,
        statuses: List<ServerStatus>,
    ) {
        formerServers = previous.filter { (id, server) -> id !in byId && server.load.ownRequests > 0 }
        if (formerServers.isEmpty()) return
        val statusById = statuses.associateBy { it.id }
        formerServers.values.forEach { server -> statusById[server.status.id]?.let { server.status = it } }
    }

    companion object {
        /**
         * Factor on this VM's exact share of slots. A few requests above that share keep the engines' batches full
         * between load reports, which is acceptable because engines apply priorities.
         */
        const val OVERCOMMIT = 1.15
        private const val INITIAL_SERVICE_SECONDS = 3.0
        private const val SERVICE_SMOOTHING = 0.05
    }
}
