package io.tarragonport.daemon.lease

import io.tarragonport.api.id.VmId
import io.tarragonport.core.membership.RendezvousSelection

/**
 * Limits the VMs that observe a lease to a few, because each observer reads the lease object every few seconds.
 *
 * [live] supplies the VMs that share the lease, as seen by the local membership view. Views can differ between VMs and
 * lead to different candidates; surplus observers are harmless.
 */
class LeaseCandidacy(
    private val name: String,
    private val self: VmId,
    private val candidates: Int = CANDIDATES,
    private val live: () -> Collection<VmId>,
) {
    /** Whether this VM is among the candidates. */
    fun eligible(): Boolean = self in RendezvousSelection.choose(name, (live() + self).toSet(), candidates)

    companion object {
        /** A holder and two observers. */
        const val CANDIDATES = 3
    }
}
