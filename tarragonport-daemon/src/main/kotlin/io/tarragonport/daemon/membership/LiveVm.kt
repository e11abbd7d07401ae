package io.tarragonport.daemon.membership

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId

/** A VM that the membership protocol considers live. */
data class LiveVm(
    val id: VmId,
    val incarnation: Incarnation,
    val peerAddress: String,
    val callerAddress: String,
    val region: RegionId,
    val failureDomain: FailureDomainId,
)
