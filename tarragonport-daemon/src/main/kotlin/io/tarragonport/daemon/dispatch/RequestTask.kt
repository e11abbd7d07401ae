package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.CacheExport
import io.tarragonport.core.admission.PendingRequest

/** The part of request execution that differs between chats and plain services. Confined to one coroutine. */
interface RequestTask {
    /** Number of response tokens received so far. */
    val receivedTokens: Int

    /** Number of tokens delivered to the caller. */
    val deliveredTokens: Int

    /** True if an attempt may be interrupted; false if it must run to its end because it cannot be repeated. */
    val interruptible: Boolean

    /** True if a complete response met the latency objectives of its class other than the deadline. */
    fun metLatencyObjectives(request: PendingRequest): Boolean = true

    /** Runs one attempt on the server at [address]; [attempt] counts from 1. */
    suspend fun runOn(
        address: String,
        request: PendingRequest,
        attempt: Int,
    ): AttemptResult

    /** Cancels [attempt] on the server at [address]. */
    suspend fun cancel(
        address: String,
        request: PendingRequest,
        attempt: Int,
    )

    /** Exports the KV cache of the running [attempt] from the server at [address]; null if it cannot. */
    suspend fun exportCache(
        address: String,
        request: PendingRequest,
        attempt: Int,
    ): CacheExport? = null

    /** Imports [exported] on the server at [address] for the next [attempt]; true on success. */
    suspend fun importCache(
        address: String,
        request: PendingRequest,
        attempt: Int,
        exported: ExportedCache,
    ): Boolean = false

    /** Checks whether the server at [address] crashed. */
    suspend fun hasCrashed(address: String): Boolean

    /** Discards the received part of the response; the next attempt starts from the beginning. */
    fun restart()
}
