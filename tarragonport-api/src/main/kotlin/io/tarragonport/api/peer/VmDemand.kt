package io.tarragonport.api.peer

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Demand of one VM; of two reports with the same [incarnation], the one with the higher [sequence] is newer. */
@Serializable
data class VmDemand(
    @CborLabel(1) val vm: VmId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val sequence: Long,
    @CborLabel(4) val pools: List<PoolDemand>,
)
