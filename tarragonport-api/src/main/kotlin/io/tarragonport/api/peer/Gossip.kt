package io.tarragonport.api.peer

import io.tarragonport.api.id.BackendServerId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Updates that are attached to probes and their acknowledgements, at most [MAXIMUM_BYTES] in total.
 *
 * [versions] are the sender's section versions in the order of `SectionName.ALL`, key shards first; empty while the
 * sender does not have all sections. [leaving] are backend servers that must not receive new requests.
 */
@Serializable
data class Gossip(
    @CborLabel(1) val versions: List<Long> = emptyList(),
    @CborLabel(2) val members: List<MemberUpdate> = emptyList(),
    @CborLabel(3) val leaving: List<BackendServerId> = emptyList(),
    @CborLabel(4) val crashes: List<CrashCount> = emptyList(),
    @CborLabel(5) val demand: List<VmDemand> = emptyList(),
) {
    companion object {
        /** Keeps a probe within one network packet, and control traffic below 3 KB/s at 410 VMs. */
        const val MAXIMUM_BYTES = 1_000
    }
}
