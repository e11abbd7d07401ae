package io.tarragonport.core.gateway.usage

import io.tarragonport.api.gateway.WindowReport
import io.tarragonport.api.id.OrganisationId
import kotlin.time.Duration
import kotlin.time.Instant

/** Counts the requests that began to run, by window of [length] and organisation. Safe to call from any thread. */
class UsageWindowCounter(
    private val length: Duration,
) {
    private val windows = sortedMapOf<Long, MutableMap<OrganisationId, Long>>()

    /** A request of [organisation] began to run at [time]. */
    @Synchronized
    fun began(
        organisation: OrganisationId,
        time: Instant,
    ) {
        windows.getOrPut(windowAt(time)) { mutableMapOf() }.merge(organisation, 1L, Long::plus)
        while (windows.size > KEPT_WINDOWS) windows.remove(windows.firstKey())
    }

    /** Counts of all kept windows after [window], oldest first. */
    @Synchronized
    fun after(window: Long): List<WindowReport> =
        windows.tailMap(window + 1).map { (number, counts) -> WindowReport(number, counts.toMap()) }

    /** Number of the window that contains [time]. */
    fun windowAt(time: Instant): Long = Math.floorDiv(time.toEpochMilliseconds(), length.inWholeMilliseconds)

    private companion object {
        /** Windows of five seconds for over two minutes, far longer than a report may take. */
        const val KEPT_WINDOWS = 32
    }
}
