package io.tarragonport.daemon.dispatch

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.event.LogEvent
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.daemon.event.line
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Transfers the KV cache of streams between servers, so that a migrated stream resumes without a new prefill. A failed
 * or late transfer does not affect the response: the stream then resumes with a new prefill.
 */
internal class CacheMigrator(
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val exports = ExportQueue()

    /**
     * Exports the cache of the running [attempt] from the server at [source]; null if the export fails or takes longer
     * than [EXPORT_TIMEOUT], including the wait for exports with a lower order number. The stream continues meanwhile.
     */
    suspend fun export(
        task: RequestTask,
        request: PendingRequest,
        attempt: Int,
        source: String,
        order: Long,
    ): ExportedCache? {
        val export =
            withTimeoutOrNull(EXPORT_TIMEOUT) {
                exports.runInOrder(source, order) { task.exportCache(source, request, attempt) }
            }
        if (export == null) log(RequestEvents.CACHE_NOT_MOVED, request, "export from $source failed or timed out")
        return export?.let { ExportedCache(source, it) }
    }

    /** Imports [exported] on the server at [target] for the next [attempt]; waits at most [IMPORT_TIMEOUT]. */
    suspend fun import(
        task: RequestTask,
        request: PendingRequest,
        attempt: Int,
        target: String,
        exported: ExportedCache,
    ) {
        val start = timeSource.markNow()
        val imported =
            withTimeoutOrNull(IMPORT_TIMEOUT) { task.importCache(target, request, attempt, exported) } ?: false
        if (imported) {
            val text = "${exported.export.tokens} tokens from ${exported.source} to $target in ${start.elapsedNow()}"
            log(RequestEvents.CACHE_MOVED, request, text)
        } else {
            log(RequestEvents.CACHE_NOT_MOVED, request, "import from ${exported.source} to $target failed or timed out")
        }
    }

    private fun log(
        event: LogEvent,
        request: PendingRequest,
        text: String,
    ) = logger.info { event.line("request ${request.id} $text") }

    companion object {
        /** A prefill of fewer tokens takes some 50 ms, about as long as the calls of a cache transfer. */
        const val MINIMUM_TOKENS = 1_000

        /** The stream continues on the leaving server during an export; most notices are some seconds longer. */
        val EXPORT_TIMEOUT: Duration = 2.seconds

        /** The caller receives no tokens during an import; a prefill of a long prompt takes about as long. */
        val IMPORT_TIMEOUT: Duration = 1.seconds
    }
}
