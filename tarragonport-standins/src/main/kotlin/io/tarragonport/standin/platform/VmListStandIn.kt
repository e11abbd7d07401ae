package io.tarragonport.standin.platform

import io.tarragonport.api.platform.ListedVm
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The VM list and its earlier versions, so that changes can be shown with a delay. */
class VmListStandIn(
    initial: List<ListedVm>,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val start = clock.markNow()
    private val history = mutableListOf<Pair<ComparableTimeMark, List<ListedVm>>>(start to initial)

    @Synchronized
    fun replace(vms: List<ListedVm>) {
        history += clock.markNow() to vms
    }

    /** The list as it was [lag] ago. */
    @Synchronized
    fun vms(lag: Duration): List<ListedVm> {
        val time = maxOf(start, clock.markNow() - lag)
        return history.last { (servedFrom, _) -> servedFrom <= time }.second
    }
}
