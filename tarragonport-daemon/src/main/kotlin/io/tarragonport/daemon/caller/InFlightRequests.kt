package io.tarragonport.daemon.caller

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.configuration.Configuration
import java.util.concurrent.ConcurrentHashMap

/**
 * Queued and running requests of this VM with their keys, so that they can be aborted when the key is withdrawn or this
 * VM is isolated. Safe to call from any thread.
 */
class InFlightRequests {
    private class Entry(
        val key: KeyId?,
        val abort: (RequestError) -> Unit,
    )

    private val entries = ConcurrentHashMap<RequestId, Entry>()

    val size: Int get() = entries.size

    /** Registers a request; [abort] aborts it and may be called more than once. */
    fun add(
        id: RequestId,
        key: KeyId?,
        abort: (RequestError) -> Unit,
    ) {
        entries[id] = Entry(key, abort)
    }

    fun remove(id: RequestId) {
        entries.remove(id)
    }

    /** Aborts requests whose key is withdrawn in [configuration] or no longer listed. */
    fun abortWithdrawn(configuration: Configuration) {
        for (entry in entries.values) {
            if (isWithdrawn(entry.key, configuration)) entry.abort(KEY_WITHDRAWN)
        }
    }

    /**
     * Aborts the request [id] if its key is withdrawn in [configuration]: a newer configuration may have arrived
     * between the check of the key and [add].
     */
    fun recheck(
        id: RequestId,
        configuration: Configuration,
    ) {
        val entry = entries[id] ?: return
        if (isWithdrawn(entry.key, configuration)) entry.abort(KEY_WITHDRAWN)
    }

    /** Aborts every request with [error]. */
    fun abortAll(error: RequestError) = entries.values.forEach { it.abort(error) }

    private fun isWithdrawn(
        key: KeyId?,
        configuration: Configuration,
    ): Boolean {
        if (key == null) return false
        val record = configuration.key(key)
        return record == null || record.withdrawn
    }

    companion object {
        private val KEY_WITHDRAWN = RequestError(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", ExecutionStatus.YES)
    }
}
