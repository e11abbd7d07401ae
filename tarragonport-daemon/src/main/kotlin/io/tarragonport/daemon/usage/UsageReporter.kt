package io.tarragonport.daemon.usage

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.UsageReport
import io.tarragonport.api.platform.UsageReportInterface
import io.tarragonport.core.usage.ClosedWindow
import io.tarragonport.core.usage.UsageFigure
import io.tarragonport.core.usage.VmUsage
import io.tarragonport.core.usage.WindowClose
import io.tarragonport.daemon.event.logError
import io.tarragonport.daemon.event.logInfo
import io.tarragonport.daemon.event.logWarning
import io.tarragonport.daemon.store.LimitedStore
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Clock

private val logger = KotlinLogging.logger {}

/**
 * Closes and reports the usage windows of [shard] while this VM holds its lease (design, section 8).
 *
 * Figures become fixed by a conditional create before they are reported, and every report reads the fixed object. Two
 * processes that both believe they hold the lease can therefore only report the same figures. Closing does not wait for
 * reporting, so an outage of the report interface makes no tokens late. Used by one coroutine.
 */
class UsageReporter(
    store: ObjectStore,
    private val reports: UsageReportInterface,
    private val lease: UsageLease,
    private val vm: VmId,
    private val shard: Int,
    private val shards: Int,
    private val clock: Clock,
    private val settings: UsageSettings = UsageSettings(),
) {
    private val limited = LimitedStore(store, settings.callLimit)
    private val objects = ShardObjects(limited, shard)
    private val pruner = UsagePruner(limited, objects, shard, shards, clock, settings)
    private var state: ShardState? = null
    private val sent = HashSet<Pair<OrganisationId, UsageWindow>>()

    /** Closes and reports until cancelled. */
    suspend fun run() {
        while (true) {
            step()
            delay(settings.stepEvery)
        }
    }

    /** Does what is due: closes ended windows, reports fixed ones, prunes. */
    suspend fun step() {
        try {
            stepUnchecked()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: RuntimeException) {
            forget()
            logger.logError(UsageEvents.STEP_FAILED) { "shard $shard: $failure" }
        }
    }

    private suspend fun stepUnchecked() {
        if (lease.authorize(settings.callLimit) == null) {
            forget()
            return
        }
        state ?: load() ?: return
        closeDue()
        reportFixed()
        state?.let { pruner.pruneIfDue(it) }
    }

    private suspend fun load(): ShardState? {
        val start = UsageWindow(lastEnded().value - 1)
        state = objects.load(start).onLeft(::failed).getOrNull()
        return state
    }

    /** Closes all ended windows; the objects of processes are read after the window before is fixed. */
    private suspend fun closeDue() {
        if (!isDue()) {
            return
        }
        val processes = objects.processes().onLeft(::failed).getOrElse { return }
        while (isDue() && lease.authorize(settings.callLimit) != null) {
            closeNext(processes) || return
        }
    }

    /** Fixes the next window; false if the caller must not go on with the same [processes]. */
    private suspend fun closeNext(processes: List<VmUsage>): Boolean {
        val before = state ?: return false
        val fixed = WindowClose(shard, shards, before.next, before.latest).close(processes)
        objects.fix(fixed).onLeft(::failed).getOrElse { return false }
        state = before.copy(latest = fixed)
        logger.logInfo(UsageEvents.WINDOW_FIXED) { "shard $shard window ${fixed.window}" }
        return true
    }

    private suspend fun reportFixed() {
        while (true) {
            val window = state?.unreported ?: return
            reportWindow(window) || return
        }
    }

    private suspend fun reportWindow(window: UsageWindow): Boolean {
        val known = state ?: return false
        val stored = objects.readFixed(window).onLeft(::failed).getOrElse { return false }
        val fixed = checkNotNull(stored) { "window $window is not fixed, but a later one is" }
        check(known.latest?.window != window || known.latest == fixed) { "the figures of $window changed" }
        for ((organisation, figure) in fixed.figures) {
            report(fixed, organisation, figure) || return false
        }
        return recordReported(window)
    }

    private suspend fun recordReported(window: UsageWindow): Boolean {
        val known = state ?: return false
        val written = objects.writeReported(window, PutCondition.Version(known.reportedVersion))
        val version = written.onLeft(::failed).getOrElse { return false }
        state = known.copy(reported = window, reportedVersion = version)
        sent.removeAll { it.second <= window }
        logger.logInfo(UsageEvents.WINDOW_REPORTED) { "shard $shard window $window" }
        return true
    }

    private suspend fun report(
        fixed: ClosedWindow,
        organisation: OrganisationId,
        figure: UsageFigure,
    ): Boolean {
        val key = organisation to fixed.window
        if (key in sent) {
            return true
        }
        val fencing = lease.authorize(settings.reportLimit) ?: return false
        val report = reportOf(fixed, organisation, figure, fencing)
        val answer =
            withTimeoutOrNull(settings.reportLimit) { reports.report(report) }
                ?: PlatformError.Unavailable("no answer within ${settings.reportLimit}").left()
        return when (answer) {
            is Either.Right -> sent.add(key)
            is Either.Left -> reportFailed(report, answer.value)
        }
    }

    private fun reportOf(
        fixed: ClosedWindow,
        organisation: OrganisationId,
        figure: UsageFigure,
        fencing: FencingToken,
    ) = UsageReport(
        organisation = organisation,
        window = fixed.window,
        promptTokens = figure.total.promptTokens,
        generatedTokens = figure.total.generatedTokens,
        requests = figure.total.requests,
        latePromptTokens = figure.late.promptTokens,
        lateGeneratedTokens = figure.late.generatedTokens,
        reporter = vm,
        fencingToken = fencing,
    )

    private fun reportFailed(
        report: UsageReport,
        error: PlatformError,
    ): Boolean {
        val place = "shard $shard window ${report.window} organisation ${report.organisation}: $error"
        if (error is PlatformError.Refused) {
            logger.logError(UsageEvents.REPORT_REFUSED) { place }
        } else {
            logger.logWarning(UsageEvents.REPORT_FAILED) { place }
        }
        return false
    }

    private fun isDue(): Boolean = state?.let { it.next <= lastEnded() } ?: false

    /** The newest window whose end lies at least the close delay in the past. */
    private fun lastEnded(): UsageWindow {
        val settled = clock.now() - settings.closeDelay
        return UsageWindow(settled.epochSeconds / UsageWindow.LENGTH_SECONDS - 1)
    }

    /** Notes a failed call; what it changed is unknown, so the state is read again. */
    private fun failed(error: PlatformError) {
        logger.logWarning(UsageEvents.STORE_FAILED) { "shard $shard: $error" }
        state = null
    }

    private fun forget() {
        state = null
        sent.clear()
    }
}
