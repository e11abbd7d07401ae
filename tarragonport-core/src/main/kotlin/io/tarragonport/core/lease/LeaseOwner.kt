package io.tarragonport.core.lease

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId

/** Identity of a process that competes for leases. */
data class LeaseOwner(
    val vm: VmId,
    val incarnation: Incarnation,
)
