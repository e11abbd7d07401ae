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
import io.tarragonport.daemon.store.TimeoutStore
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Clock

private val logger = KotlinLogging.logger {}

/**
 * Closes and reports the usage windows of [shard] while this VM holds its lease.
 *
 * The figures of a window are stored by a conditional create before they are reported, and every report uses the stored
 * object. Two processes that both act as holder can therefore only report the same figures. Closing does not wait for
 * reporting, so an outage of the report interface causes no late tokens, which are reported in a later window than the
 * one in which they were served. Confined to one coroutine.
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
    private val timeoutStore = TimeoutStore(store, settings.callTimeout)
    private val shardStore = ShardStore(timeoutStore, shard)
    private val pruner = UsagePruner(timeoutStore, shardStore, shard, shards, clock, settings)
    private var state: ShardState? = null
    private val sent = HashSet<Pair<OrganisationId, UsageWindow>>()

    /** Closes and reports until cancelled. */
    suspend fun run() {
        while (true) {
            step()
            delay(settings.stepInterval)
        }
    }

    /** Closes ended windows, reports closed windows and prunes old objects, each if due. */
    suspend fun step() {
        try {
            stepUnchecked()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: RuntimeException) {
            clearState()
            logger.logError(UsageEvents.STEP_FAILED) { "shard $shard: $failure" }
        }
    }

    private suspend fun stepUnchecked() {
        if (lease.authorize(settings.callTimeout) == null) {
            clearState()
            return
        }
        state ?: load() ?: return
        closeDue()
        reportClosed()
        state?.let { pruner.pruneIfDue(it) }
    }

    private suspend fun load(): ShardState? {
        val start = UsageWindow(newestClosable().value - 1)
        state = shardStore.load(start).onLeft(::handleFailure).getOrNull()
        return state
    }

    /** Closes all ended windows; the objects of processes are read after the previous window was closed. */
    private suspend fun closeDue() {
        if (!isDue()) {
            return
        }
        val processes = shardStore.processes().onLeft(::handleFailure).getOrElse { return }
        while (isDue() && lease.authorize(settings.callTimeout) != null) {
            closeNext(processes) || return
        }
    }

    /** Closes the next window; returns false if the caller must not continue with the same [processes]. */
    private suspend fun closeNext(processes: List<VmUsage>): Boolean {
        val before = state ?: return false
        val closed = WindowClose(shard, shards, before.next, before.latest).close(processes)
        shardStore.writeClosed(closed).onLeft(::handleFailure).getOrElse { return false }
        state = before.copy(latest = closed)
        logger.logInfo(UsageEvents.WINDOW_FIXED) { "shard $shard window ${closed.window}" }
        return true
    }

    private suspend fun reportClosed() {
        while (true) {
            val window = state?.unreported ?: return
            reportWindow(window) || return
        }
    }

    private suspend fun reportWindow(window: UsageWindow): Boolean {
        val current = state ?: return false
        val stored = shardStore.readClosed(window).onLeft(::handleFailure).getOrElse { return false }
        val closed = checkNotNull(stored) { "window $window is not closed, but a later one is" }
        check(current.latest?.window != window || current.latest == closed) { "the figures of $window changed" }
        for ((organisation, figure) in closed.figures) {
            report(closed, organisation, figure) || return false
        }
        return recordReported(window)
    }

    private suspend fun recordReported(window: UsageWindow): Boolean {
        val current = state ?: return false
        val written = shardStore.writeReported(window, PutCondition.Version(current.reportedVersion))
        val version = written.onLeft(::handleFailure).getOrElse { return false }
        state = current.copy(reported = window, reportedVersion = version)
        sent.removeAll { it.second <= window }
        logger.logInfo(UsageEvents.WINDOW_REPORTED) { "shard $shard window $window" }
        return true
    }

    private suspend fun report(
        closed: ClosedWindow,
        organisation: OrganisationId,
        figure: UsageFigure,
    ): Boolean {
        val key = organisation to closed.window
        if (key in sent) {
            return true
        }
        val token = lease.authorize(settings.reportTimeout) ?: return false
        val report = reportOf(closed, organisation, figure, token)
        val result =
            withTimeoutOrNull(settings.reportTimeout) { reports.report(report) }
                ?: PlatformError.Unavailable("no response within ${settings.reportTimeout}").left()
        return when (result) {
            is Either.Right -> sent.add(key)
            is Either.Left -> reportFailed(report, result.value)
        }
    }

    private fun reportOf(
        closed: ClosedWindow,
        organisation: OrganisationId,
        figure: UsageFigure,
        token: FencingToken,
    ) = UsageReport(
        organisation = organisation,
        window = closed.window,
        promptTokens = figure.total.promptTokens,
        generatedTokens = figure.total.generatedTokens,
        requests = figure.total.requests,
        latePromptTokens = figure.late.promptTokens,
        lateGeneratedTokens = figure.late.generatedTokens,
        reporter = vm,
        fencingToken = token,
    )

    private fun reportFailed(
        report: UsageReport,
        error: PlatformError,
    ): Boolean {
        val detail = "shard $shard window ${report.window} organisation ${report.organisation}: $error"
        if (error is PlatformError.Refused) {
            logger.logError(UsageEvents.REPORT_REFUSED) { detail }
        } else {
            logger.logWarning(UsageEvents.REPORT_FAILED) { detail }
        }
        return false
    }

    private fun isDue(): Boolean = state?.let { it.next <= newestClosable() } ?: false

    /** The newest window that ended at least [UsageSettings.closeDelay] ago. */
    private fun newestClosable(): UsageWindow {
        val cutoff = clock.now() - settings.closeDelay
        return UsageWindow(cutoff.epochSeconds / UsageWindow.LENGTH_SECONDS - 1)
    }

    /** Handles a failed call; its effect is unknown, so the state is read again. */
    private fun handleFailure(error: PlatformError) {
        logger.logWarning(UsageEvents.STORE_FAILED) { "shard $shard: $error" }
        state = null
    }

    private fun clearState() {
        state = null
        sent.clear()
    }
}
