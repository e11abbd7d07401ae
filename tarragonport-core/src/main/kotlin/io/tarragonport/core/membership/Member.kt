package io.tarragonport.core.membership

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.peer.MemberState
import io.tarragonport.api.peer.MemberUpdate
import kotlin.time.TimeMark

/** State of another VM as tracked by this one; [stateSince] is when this VM recorded [state]. */
data class Member(
    val id: VmId,
    val incarnation: Incarnation,
    val refutation: Int,
    val state: MemberState,
    val details: MemberDetails,
    val stateSince: TimeMark,
) {
    /** True if this VM counts as live. */
    val live: Boolean get() = state == MemberState.ALIVE || state == MemberState.SUSPECT

    /** The update that disseminates this state. */
    fun update(): MemberUpdate {
        val sentDetails = details.takeIf { state == MemberState.ALIVE }
        return MemberUpdate(id, incarnation, refutation, state, sentDetails)
    }

    /** True if [update] has a later incarnation or refutation, or a later state with the same ones. */
    fun isSupersededBy(update: MemberUpdate): Boolean = order.compare(update, update()) > 0

    private companion object {
        val order = compareBy<MemberUpdate>({ it.incarnation }, { it.refutation }, { it.state })
    }
}
