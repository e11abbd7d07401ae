package io.tarragonport.api.peer

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Addresses (`ip:port`) and location of a member. */
@Serializable
data class MemberDetails(
    @CborLabel(1) val peerAddress: String,
    @CborLabel(2) val callerAddress: String,
    @CborLabel(3) val region: RegionId,
    @CborLabel(4) val failureDomain: FailureDomainId,
)
