package io.tarragonport.api.peer

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * An update of a member's state.
 *
 * A process that is wrongly suspected refutes the suspicion with a higher [refutation]. Its [incarnation] stays the
 * same, because other components identify the process by it. [details] are present if [state] is [MemberState.ALIVE].
 */
@Serializable
data class MemberUpdate(
    @CborLabel(1) val id: VmId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val refutation: Int = 0,
    @CborLabel(4) val state: MemberState = MemberState.ALIVE,
    @CborLabel(5) val details: MemberDetails? = null,
)
