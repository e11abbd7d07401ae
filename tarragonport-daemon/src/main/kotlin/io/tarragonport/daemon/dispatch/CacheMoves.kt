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
internal class CacheMoves(
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val order = MoveOrder()

    /**
     * Exports the cache of the running [attempt] from the server at [source]; null if the export fails or takes longer
     * than [EXPORT_LIMIT], including the wait for exports with a lower [number]. The stream continues meanwhile.
     */
    suspend fun export(
        work: Work,
        request: PendingRequest,
        attempt: Int,
        source: String,
        number: Long,
    ): MovedCache? {
        val export =
            withTimeoutOrNull(EXPORT_LIMIT) {
                order.inTurn(source, number) { work.exportCache(source, request, attempt) }
            }
        if (export == null) log(RequestEvents.CACHE_NOT_MOVED, request, "export from $source failed or timed out")
        return export?.let { MovedCache(source, it) }
    }

    /** Imports [moved] on the server at [target] for the next [attempt]; waits at most [IMPORT_LIMIT]. */
    suspend fun import(
        work: Work,
        request: PendingRequest,
        attempt: Int,
        target: String,
        moved: MovedCache,
    ) {
        val start = timeSource.markNow()
        val imported = withTimeoutOrNull(IMPORT_LIMIT) { work.importCache(target, request, attempt, moved) } ?: false
        if (imported) {
            val text = "${moved.export.tokens} tokens from ${moved.source} to $target in ${start.elapsedNow()}"
            log(RequestEvents.CACHE_MOVED, request, text)
        } else {
            log(RequestEvents.CACHE_NOT_MOVED, request, "import from ${moved.source} to $target failed or timed out")
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
        val EXPORT_LIMIT: Duration = 2.seconds

        /** The caller receives no tokens during an import; a prefill of a long prompt takes about as long. */
        val IMPORT_LIMIT: Duration = 1.seconds
    }
}
