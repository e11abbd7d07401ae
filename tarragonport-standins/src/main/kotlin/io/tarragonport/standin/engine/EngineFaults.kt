package io.tarragonport.standin.engine

import kotlinx.serialization.Serializable

/**
 * Faults of an engine stand-in, set by `PUT /control/faults`; the default has none.
 *
 * Token positions count from the start of the complete generated text, resumed tokens included. [crashAtToken] and
 * [crashMarker] end the process (or stop the server when it runs inside a test); [crashMarker] does so on any request
 * whose body contains the marker. [straggleFactor] multiplies the prefill time and the time between tokens.
 * [wrongIdAtToken], [duplicateAtToken], [skipAtToken] and [reorderAtToken] corrupt one chunk of the stream,
 * [cutAtToken] closes the connection, [stallAtToken] stops sending but keeps the connection open.
 *
 * [rejectStatus] rejects every chat request with that status, [draining] with 503 `draining`. With [checkFencing] false
 * any fencing token is accepted. Every [cacheGapEvery]th cache event is omitted. [loadLagMs] is the maximum age of load
 * reports. [failExport] and [failImport] fail KV cache exports and imports, [exportDelayMs] and [importDelayMs] delay
 * them, and [crashAtImport] ends the process when it receives an import.
 *
 * [remaining] is the number of further streams affected by the stream faults; null means no limit.
 */
@Serializable
data class EngineFaults(
    val crashAtToken: Int? = null,
    val crashMarker: String? = null,
    val straggleFactor: Double = 1.0,
    val wrongIdAtToken: Int? = null,
    val duplicateAtToken: Int? = null,
    val skipAtToken: Int? = null,
    val reorderAtToken: Int? = null,
    val cutAtToken: Int? = null,
    val stallAtToken: Int? = null,
    val rejectStatus: Int? = null,
    val draining: Boolean = false,
    val checkFencing: Boolean = true,
    val cacheGapEvery: Int = 0,
    val loadLagMs: Long = 0,
    val failExport: Boolean = false,
    val exportDelayMs: Long = 0,
    val failImport: Boolean = false,
    val importDelayMs: Long = 0,
    val crashAtImport: Boolean = false,
    val remaining: Int? = null,
) {
    /** These faults without the ones that affect a single stream. */
    fun withoutStreamFaults(): EngineFaults =
        copy(
            crashAtToken = null,
            wrongIdAtToken = null,
            duplicateAtToken = null,
            skipAtToken = null,
            reorderAtToken = null,
            cutAtToken = null,
            stallAtToken = null,
        )

    /** True if any fault affects single streams. */
    fun hasStreamFaults(): Boolean = this != withoutStreamFaults()
}
