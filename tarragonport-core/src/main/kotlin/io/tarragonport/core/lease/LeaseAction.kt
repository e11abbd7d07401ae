package io.tarragonport.core.lease

import io.tarragonport.api.platform.PutCondition
import kotlin.time.Duration

/** What a [LeaseStateMachine] wants to be done next. */
sealed interface LeaseAction {
    /** Nothing is due for [duration]. */
    data class Wait(
        val duration: Duration,
    ) : LeaseAction

    /** The lease object is to be read. */
    data object Read : LeaseAction

    /** The lease object is to be written without delay: validity is counted from now. */
    data class Write(
        val record: LeaseRecord,
        val condition: PutCondition,
    ) : LeaseAction

    /** The lease was given up; there is nothing left to do. */
    data object Finished : LeaseAction
}
