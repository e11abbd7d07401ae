package io.tarragonport.api.peer

import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Demand of the callers of one VM under a limit: requests and tokens per minute, admitted or not. [key] is null for the
 * limit of the whole organisation. The next report follows within [intervalSeconds] while the organisation is near its
 * limit.
 */
@Serializable
data class LimitDemand(
    @CborLabel(1) val organisation: OrganisationId,
    @CborLabel(2) val key: KeyId? = null,
    @CborLabel(3) val requests: Int = 0,
    @CborLabel(4) val tokens: Long = 0,
    @CborLabel(5) val intervalSeconds: Int = 1,
)
