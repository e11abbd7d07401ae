package io.tarragonport.daemon.membership

import io.tarragonport.api.id.VmId
import kotlinx.coroutines.flow.StateFlow

/** Gives other parts of the daemon the VMs that are believed to be live, this one included. */
interface MembershipView {
    /** Live VMs; at least this one. */
    val liveVms: StateFlow<List<LiveVm>>
}

/** Live VMs of the region of [vm]. */
internal fun MembershipView.vmsInRegionOf(vm: VmId): List<VmId> {
    val live = liveVms.value
    val region = live.find { it.id == vm }?.region
    return live.filter { it.region == region }.map { it.id }
}
