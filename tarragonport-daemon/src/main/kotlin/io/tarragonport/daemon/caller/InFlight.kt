package io.tarragonport.daemon.caller

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.configuration.Configuration
import java.util.concurrent.ConcurrentHashMap

/**
 * Requests that wait or run on this VM, with the key they came with, so that they can be cut when the key is withdrawn
 * or this VM is isolated. Safe to call from any thread.
 */
class InFlight {
    private class Entry(
        val key: KeyId?,
        val cut: (RequestError) -> Unit,
    )

    private val entries = ConcurrentHashMap<RequestId, Entry>()

    val size: Int get() = entries.size

    /** Registers a request; [cut] ends it and may be called more than once. */
    fun add(
        id: RequestId,
        key: KeyId?,
        cut: (RequestError) -> Unit,
    ) {
        entries[id] = Entry(key, cut)
    }

    fun remove(id: RequestId) {
        entries.remove(id)
    }

    /** Cuts requests whose key [configuration] has withdrawn or no longer lists. */
    fun cutWithdrawn(configuration: Configuration) {
        for (entry in entries.values) {
            if (isWithdrawn(entry.key, configuration)) entry.cut(KEY_WITHDRAWN)
        }
    }

    /**
     * Cuts the request [id] if [configuration] has withdrawn its key: closes the gap between the check of the key and
     * [add], in which a newer configuration may have arrived.
     */
    fun recheck(
        id: RequestId,
        configuration: Configuration,
    ) {
        val entry = entries[id] ?: return
        if (isWithdrawn(entry.key, configuration)) entry.cut(KEY_WITHDRAWN)
    }

    /** Cuts every request with [error]. */
    fun cutAll(error: RequestError) = entries.values.forEach { it.cut(error) }

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
