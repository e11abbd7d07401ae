package io.tarragonport.core.lease

import io.tarragonport.api.platform.PutCondition
import kotlin.time.Duration

/** The next action requested by a [LeaseStateMachine]. */
sealed interface LeaseAction {
    /** No action is due for [duration]. */
    data class Wait(
        val duration: Duration,
    ) : LeaseAction

    /** Read the lease object. */
    data object Read : LeaseAction

    /** Write the lease object without delay, because its validity is counted from the request of this action. */
    data class Write(
        val record: LeaseRecord,
        val condition: PutCondition,
    ) : LeaseAction

    /** The lease was released; no further action follows. */
    data object Finished : LeaseAction
}
