package io.tarragonport.core.admission

import io.tarragonport.api.id.RequestId

/**
 * Number of preemptions of requests that are between two attempts on this VM. A failed attempt counts as one preemption
 * if there was none before. The number of entries is bounded, because some requests are never submitted again.
 */
internal class PreemptionCounts {
    private val counts =
        object : LinkedHashMap<RequestId, Int>() {
            override fun removeEldestEntry(eldest: Map.Entry<RequestId, Int>) = size > MAXIMUM
        }

    fun record(
        request: RequestId,
        preemptions: Int,
    ) {
        counts[request] = preemptions
    }

    /** Removes and returns the number of preemptions of [request]; zero if none was recorded. */
    fun take(request: RequestId): Int = counts.remove(request) ?: 0

    private companion object {
        const val MAXIMUM = 10_000
    }
}
