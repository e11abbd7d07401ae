package io.tarragonport.daemon.placement

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.membership.Membership
import io.tarragonport.core.membership.RendezvousSelection
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Divides the reading of inventories among the VMs of a region, because 410 VMs that all read every 2 s would make
 * about 660 reads a second.
 *
 * In fleets of up to [Membership.SMALL_FLEET] VMs each VM reads every [InventoryPoller.POLL_INTERVAL]. In larger ones
 * [READERS] VMs for each failure domain do, by rendezvous hashing over the live VMs of the region, and the others read
 * every [RARE_INTERVAL]. The holder of [orders] always reads often, since it decides by an inventory of some seconds.
 */
class SharedInventoryPollSchedule(
    private val vm: VmId,
    private val region: RegionId,
    private val fleet: MembershipView,
    private val orders: StateFlow<FencingToken?>,
) : InventoryPollSchedule {
    override fun intervals(domain: FailureDomainId): Flow<Duration> =
        combine(fleet.liveVms, orders) { live, held ->
            val often = held != null || live.size <= Membership.SMALL_FLEET || vm in readers(domain, live)
            if (often) InventoryPoller.POLL_INTERVAL else RARE_INTERVAL
        }.distinctUntilChanged()

    private fun readers(
        domain: FailureDomainId,
        live: List<LiveVm>,
    ): List<VmId> =
        RendezvousSelection.choose(
            "inventory/$domain",
            live
                .filter {
                    it.region == region
                }.map { it.id },
            READERS,
        )

    companion object {
        /** VMs that read a failure domain's inventory often; the loss of one leaves another. */
        const val READERS = 2
        val RARE_INTERVAL: Duration = 30.seconds
    }
}
