package io.tarragonport.standin.engine

import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Simulates outdated load reports: the load is measured again only once the last report has reached a given age. */
class LaggedLoadReporter(
    private val server: BackendServerId,
    private val timeSource: TimeSource,
    private val measure: () -> LoadReport,
) {
    private var measuredAt: TimeMark? = null
    private var report = LoadReport(server, 0, 0, 0)

    /** The load report with its age; measured again if the last one is at least [lagMs] old. */
    @Synchronized
    fun report(lagMs: Long): LoadReport {
        val lastMeasurement = measuredAt
        if (lastMeasurement == null || lastMeasurement.elapsedNow() >= lagMs.milliseconds) {
            report = measure()
            measuredAt = timeSource.markNow()
            return report
        }
        return report.copy(ageMs = lastMeasurement.elapsedNow().inWholeMilliseconds)
    }
}
