package io.tarragonport.api.peer

import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Number of backend server crashes that [vm] observed while the request with [fingerprint] was in flight, the last one
 * [ageSeconds] ago. Counts of different VMs are added up; a duplicate message has no effect.
 */
@Serializable
data class CrashCount(
    @CborLabel(1) val fingerprint: String,
    @CborLabel(2) val vm: VmId,
    @CborLabel(3) val count: Int,
    @CborLabel(4) val ageSeconds: Int = 0,
)
