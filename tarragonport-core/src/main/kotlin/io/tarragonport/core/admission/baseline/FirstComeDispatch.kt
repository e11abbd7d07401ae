package io.tarragonport.core.admission.baseline

import io.tarragonport.core.admission.DispatchPolicy
import kotlin.time.TimeSource

/** Starts requests in order of arrival and uses slots in the order in which they became free. */
class FirstComeDispatch(
    clock: TimeSource.WithComparableMarks,
    queueBound: Int = DEFAULT_QUEUE_BOUND,
) : DispatchPolicy by BaselineDispatch(
        clock,
        queueBound,
        "first-come",
        { free -> free.minWith(compareBy({ it.lastFreed }, { it.position })) },
    ) {
    companion object {
        /** Requests that may wait for one pool on one VM. */
        const val DEFAULT_QUEUE_BOUND = 200
    }
}
