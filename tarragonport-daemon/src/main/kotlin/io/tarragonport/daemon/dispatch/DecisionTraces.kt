package io.tarragonport.daemon.dispatch

import io.tarragonport.api.id.RequestId
import io.tarragonport.core.admission.PendingRequest

/**
 * Keeps the decisions about the last [capacity] requests in memory. Safe to call from any thread.
 *
 * A request can be looked up by the id that this VM assigned and by the id that the caller chose; if several requests
 * have the same chosen id, the newest is returned.
 */
class DecisionTraces(
    private val capacity: Int = DEFAULT_CAPACITY,
) : TraceSource {
    private class Trace(
        val request: PendingRequest,
        val entries: ArrayList<TraceEntry> = ArrayList(EXPECTED_ENTRIES),
        var alias: String? = null,
    )

    private val lock = Any()
    private val traces = LinkedHashMap<RequestId, Trace>()
    private val aliases = HashMap<String, RequestId>()

    /** Adds [entry] to the trace of [request]. */
    fun add(
        request: PendingRequest,
        entry: TraceEntry,
    ) = synchronized(lock) {
        val trace = traces.getOrPut(request.id) { Trace(request.copy(prefixBlocks = emptyList())) }
        if (trace.entries.size < MAXIMUM_ENTRIES) trace.entries.add(entry)
        evict()
    }

    /** Makes the trace of request [id] available under [alias] as well. */
    fun addAlias(
        id: RequestId,
        alias: String,
    ) = synchronized(lock) {
        val trace = traces[id] ?: return@synchronized
        trace.alias = alias
        aliases[alias] = id
    }

    override fun trace(requestId: String): RequestTrace? =
        synchronized(lock) {
            val trace = traces[RequestId(requestId)] ?: aliases[requestId]?.let { traces[it] } ?: return null
            RequestTrace(
                requestId = trace.request.id.value,
                organisation = trace.request.organisation.value,
                requestClass = trace.request.requestClass.id.value,
                pool = trace.request.pool.value,
                entries = trace.entries.toList(),
            )
        }

    private fun evict() {
        while (traces.size > capacity) {
            val (id, trace) = traces.entries.first()
            traces.remove(id)
            trace.alias?.let { aliases.remove(it, id) }
        }
    }

    companion object {
        const val DEFAULT_CAPACITY = 20_000

        /** A start and an end; failed attempts add more. */
        private const val EXPECTED_ENTRIES = 2

        /** Bounds the trace of a request that is preempted repeatedly. */
        private const val MAXIMUM_ENTRIES = 64
    }
}
