package io.tarragonport.standin.platform

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.platform.UsageReport
import kotlin.time.TimeSource

/** Usage reports; the first report of an organisation and window is final, and a different one is rejected. */
class UsageStandIn(
    clock: TimeSource.WithComparableMarks,
) {
    private val start = clock.markNow()
    private val finalReports = mutableMapOf<Pair<OrganisationId, UsageWindow>, UsageReport>()
    private val received = mutableListOf<ReceivedUsage>()

    /** Handles a report and returns the status of the response. */
    @Synchronized
    fun report(report: UsageReport): Int {
        val status = decide(report)
        received += ReceivedUsage(start.elapsedNow().inWholeMilliseconds, report, status)
        return status
    }

    @Synchronized
    fun received(): List<ReceivedUsage> = received.toList()

    private fun decide(report: UsageReport): Int {
        val recorded = finalReports.putIfAbsent(report.organisation to report.window, report)
        return when {
            recorded == null -> CREATED
            sameFigures(recorded, report) -> REPEATED
            else -> CONFLICT
        }
    }

    /** Ignores the reporter and the fencing token, because a new leaseholder repeats the figures under its own id. */
    private fun sameFigures(
        recorded: UsageReport,
        report: UsageReport,
    ): Boolean = recorded == report.copy(reporter = recorded.reporter, fencingToken = recorded.fencingToken)

    companion object {
        const val CREATED = 201
        const val REPEATED = 200
        const val CONFLICT = 409
    }
}
