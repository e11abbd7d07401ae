package io.tarragonport.daemon.usage

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.UsageReport
import io.tarragonport.api.platform.UsageReportInterface
import io.tarragonport.core.usage.UsageTotals
import io.tarragonport.daemon.store.Fault
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** In-memory usage report interface; [faultOf] gives the fault of each call. Does not check fencing tokens. */
class RecordingUsageReports(
    private val faultOf: () -> Fault? = { null },
) : UsageReportInterface {
    /** Reports by organisation and window. */
    val reported = HashMap<Pair<OrganisationId, UsageWindow>, UsageReport>()

    /** Reports that differ from a report accepted earlier. */
    val contradictions = ArrayList<UsageReport>()

    /** Calls that took effect. */
    var calls = 0
        private set

    override suspend fun report(report: UsageReport): Either<PlatformError, Unit> {
        delay(2.milliseconds)
        val fault = faultOf()
        if (fault == Fault.UNAVAILABLE) {
            return PlatformError.Unavailable("injected").left()
        }
        calls++
        val first = reported.getOrPut(report.organisation to report.window) { report }
        if (figure(first) != figure(report)) {
            contradictions += report
            return PlatformError.Refused("different figure").left()
        }
        return if (fault == null) Unit.right() else PlatformError.Unavailable("response lost").left()
    }

    /** Sum of the figures of [organisation]. */
    fun total(organisation: OrganisationId): UsageTotals =
        UsageTotals.sum(
            reported.values
                .filter { it.organisation == organisation }
                .map { UsageTotals(it.promptTokens, it.generatedTokens, it.requests) },
        )

    private fun figure(report: UsageReport) =
        listOf(
            report.promptTokens,
            report.generatedTokens,
            report.requests,
            report.latePromptTokens,
            report.lateGeneratedTokens,
        )
}
