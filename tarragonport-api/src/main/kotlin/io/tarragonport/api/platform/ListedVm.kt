package io.tarragonport.api.platform

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable

/** A VM in the platform's VM list, which can be out of date. */
@Serializable
data class ListedVm(
    val id: VmId,
    val peerAddress: String,
    val callerAddress: String = "",
    val region: RegionId,
    val failureDomain: FailureDomainId,
    val leaving: Boolean = false,
)
