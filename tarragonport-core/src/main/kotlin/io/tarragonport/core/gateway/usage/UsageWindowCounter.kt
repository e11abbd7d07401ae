package io.tarragonport.core.gateway.usage

import io.tarragonport.api.gateway.WindowReport
import io.tarragonport.api.id.OrganisationId
import kotlin.time.Duration
import kotlin.time.Instant

/** Counts started requests by window of [length] and organisation. Thread-safe. */
class UsageWindowCounter(
    private val length: Duration,
) {
    private val windows = sortedMapOf<Long, MutableMap<OrganisationId, Long>>()

    /** Records a request of [organisation] that started at [time]. */
    @Synchronized
    fun requestStarted(
        organisation: OrganisationId,
        time: Instant,
    ) {
        windows.getOrPut(windowAt(time)) { mutableMapOf() }.merge(organisation, 1L, Long::plus)
        while (windows.size > MAX_WINDOWS) windows.remove(windows.firstKey())
    }

    /** Counts of all retained windows after [window], oldest first. */
    @Synchronized
    fun after(window: Long): List<WindowReport> =
        windows.tailMap(window + 1).map { (number, counts) -> WindowReport(number, counts.toMap()) }

    /** Number of the window that contains [time]. */
    fun windowAt(time: Instant): Long = Math.floorDiv(time.toEpochMilliseconds(), length.inWholeMilliseconds)

    private companion object {
        /** More than two minutes of five-second windows, far longer than a report may take. */
        const val MAX_WINDOWS = 32
    }
}
