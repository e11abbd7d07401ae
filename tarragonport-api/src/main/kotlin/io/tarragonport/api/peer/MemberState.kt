package io.tarragonport.api.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a member, in ascending order of precedence among updates with equal incarnation and refutation. */
@Serializable
enum class MemberState {
    @SerialName("a")
    ALIVE,

    /** Did not acknowledge a probe; considered dead unless it refutes the suspicion in time. */
    @SerialName("s")
    SUSPECT,

    @SerialName("d")
    DEAD,

    /** Announced that it is leaving. */
    @SerialName("l")
    LEFT,
}
