package io.tarragonport.core.membership

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberDetails

/** Identity of this process as a fleet member. */
data class LocalMember(
    val id: VmId,
    val incarnation: Incarnation,
    val details: MemberDetails,
)
