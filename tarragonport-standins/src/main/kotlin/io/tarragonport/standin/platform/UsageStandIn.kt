package io.tarragonport.standin.platform

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.platform.UsageReport
import kotlin.time.TimeSource

/** Usage reports; the first figures for an organisation and window are kept and other figures are refused. */
class UsageStandIn(
    clock: TimeSource.WithComparableMarks,
) {
    private val start = clock.markNow()
    private val figures = mutableMapOf<Pair<OrganisationId, UsageWindow>, UsageReport>()
    private val received = mutableListOf<ReceivedUsage>()

    /** Handles a report and returns the status of the answer. */
    @Synchronized
    fun report(report: UsageReport): Int {
        val status = decide(report)
        received += ReceivedUsage(start.elapsedNow().inWholeMilliseconds, report, status)
        return status
    }

    @Synchronized
    fun received(): List<ReceivedUsage> = received.toList()

    private fun decide(report: UsageReport): Int {
        val known = figures.putIfAbsent(report.organisation to report.window, report)
        return when {
            known == null -> CREATED
            sameFigures(known, report) -> REPEATED
            else -> DIFFERENT
        }
    }

    /** Compares without reporter and fencing number: a successor repeats the figures under its own name. */
    private fun sameFigures(
        known: UsageReport,
        report: UsageReport,
    ): Boolean = known == report.copy(reporter = known.reporter, fencingToken = known.fencingToken)

    companion object {
        const val CREATED = 201
        const val REPEATED = 200
        const val DIFFERENT = 409
    }
}
