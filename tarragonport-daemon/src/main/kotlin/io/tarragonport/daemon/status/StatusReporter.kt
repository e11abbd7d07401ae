package io.tarragonport.daemon.status

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.api.status.LeaseStatus
import io.tarragonport.api.status.ServerReport
import io.tarragonport.api.status.VmStatus
import io.tarragonport.daemon.caller.CallerServer
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.membership.MembershipView
import kotlin.time.Clock

/** Collects this VM's status from the parts of the daemon. */
class StatusReporter(
    private val settings: ProcessSettings,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val configuration: ConfigurationSource,
    private val fleet: MembershipView,
    private val dispatcher: Dispatcher,
    private val counters: ClassCounters,
    private val server: CallerServer,
    private val leases: () -> List<LeaseStatus> = { emptyList() },
) {
    /** The current status. */
    fun report(): VmStatus {
        val current = configuration.current.value
        return VmStatus(
            vm = settings.vmId,
            incarnation = incarnation,
            region = settings.region,
            failureDomain = settings.failureDomain,
            callerAddress = settings.callerAddress,
            writtenAt = clock.now().toString(),
            ready = server.ready,
            draining = server.draining,
            isolated = configuration.isolated.value,
            liveVms = fleet.liveVms.value.size,
            sections = current?.versions.orEmpty(),
            classes = counters.snapshot(current?.document?.classes.orEmpty()),
            servers = servers(),
            leases = leases(),
        )
    }

    private fun servers(): List<ServerReport> =
        dispatcher.currentServers.map {
            ServerReport(it.id, it.pool, it.failureDomain, it.cheap, it.leaving)
        }
}
