package io.tarragonport.core.admission.baseline

import io.tarragonport.core.admission.DispatchPolicy
import kotlin.time.TimeSource

/** Starts requests in order of arrival on the servers in turn. */
class RoundRobinDispatch(
    clock: TimeSource.WithComparableMarks,
    queueBound: Int = FirstComeDispatch.DEFAULT_QUEUE_BOUND,
) : DispatchPolicy by BaselineDispatch(clock, queueBound, "round-robin", RoundRobinSelector())
