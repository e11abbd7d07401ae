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
 * Divides inventory polling among the VMs of a region, because 410 VMs that each poll every 2 s would cause about 660
 * reads per second.
 *
 * In fleets of up to [Membership.SMALL_FLEET] VMs, each VM polls every [InventoryPoller.POLL_INTERVAL]. In larger
 * fleets, [READERS] VMs per failure domain do so, chosen by rendezvous hashing over the live VMs of the region, and the
 * others poll every [SLOW_POLL_INTERVAL]. The VM that holds the order lease, shown by a token in [orderLease], always
 * polls frequently, because its decisions need an inventory that is only seconds old.
 */
class SharedInventoryPollSchedule(
    private val vm: VmId,
    private val region: RegionId,
    private val fleet: MembershipView,
    private val orderLease: StateFlow<FencingToken?>,
) : InventoryPollSchedule {
    override fun intervals(domain: FailureDomainId): Flow<Duration> =
        combine(fleet.liveVms, orderLease) { live, heldToken ->
            val frequent = heldToken != null || live.size <= Membership.SMALL_FLEET || vm in readers(domain, live)
            if (frequent) InventoryPoller.POLL_INTERVAL else SLOW_POLL_INTERVAL
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
        /** VMs that frequently poll the inventory of a failure domain; if one fails, another remains. */
        const val READERS = 2
        val SLOW_POLL_INTERVAL: Duration = 30.seconds
    }
}
