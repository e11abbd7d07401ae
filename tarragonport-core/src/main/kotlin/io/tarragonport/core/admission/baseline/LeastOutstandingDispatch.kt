package io.tarragonport.core.admission.baseline

import io.tarragonport.core.admission.DispatchPolicy
import kotlin.time.TimeSource

/**
 * Starts requests in order of arrival on the server with the fewest requests of this VM, among equals on the one that
 * was freed longest ago.
 */
class LeastOutstandingDispatch(
    clock: TimeSource.WithComparableMarks,
    queueBound: Int = FirstComeDispatch.DEFAULT_QUEUE_BOUND,
) : DispatchPolicy by BaselineDispatch(
        clock,
        queueBound,
        "least-outstanding",
        { free -> free.minWith(compareBy({ it.outstanding }, { it.lastFreed }, { it.position })) },
    )
