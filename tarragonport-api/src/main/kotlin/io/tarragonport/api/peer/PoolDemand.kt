package io.tarragonport.api.peer

import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.PoolId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Number of requests of one tier that a VM has queued ([waiting]) for a pool and [running] on it. */
@Serializable
data class PoolDemand(
    @CborLabel(1) val pool: PoolId,
    @CborLabel(2) val tier: Tier,
    @CborLabel(3) val waiting: Int = 0,
    @CborLabel(4) val running: Int = 0,
)
