package io.tarragonport.daemon.lease

import io.tarragonport.api.id.VmId
import io.tarragonport.core.membership.RendezvousSelection

/**
 * Chooses the few VMs that observe a lease, because every observer costs the platform a read every few seconds.
 *
 * [live] are the VMs that share the lease, as this one knows them. VMs that see different members may choose differently;
 * more observers than needed do no harm.
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
