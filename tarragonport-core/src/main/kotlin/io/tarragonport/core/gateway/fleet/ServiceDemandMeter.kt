package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Measures the load that this VM sends to each service between two readings. Safe to call from any thread. */
class ServiceDemandMeter(
    private val clock: TimeSource.WithComparableMarks,
) {
    private class Count {
        var readTokens = 0L
        var inFlight = 0
        var busy = 0.0
        var changedAt: ComparableTimeMark? = null
    }

    private val counts = HashMap<ServiceId, Count>()
    private var readAt = clock.markNow()

    /** A request that makes an engine read [tokens] was sent. */
    @Synchronized
    fun started(
        service: ServiceId,
        tokens: Int,
    ) = change(service, 1) { it.readTokens += tokens }

    /** A request ended. */
    @Synchronized
    fun ended(service: ServiceId) = change(service, -1) {}

    /** The load since the last reading. */
    @Synchronized
    fun read(): Map<ServiceId, ServiceDemand> {
        val now = clock.markNow()
        val seconds = (now - readAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(SHORTEST_SECONDS)
        val demands =
            counts.mapValues { (service, count) ->
                change(service, 0) {}
                val demand = ServiceDemand(count.readTokens / seconds, count.busy / seconds)
                count.readTokens = 0
                count.busy = 0.0
                demand
            }
        readAt = now
        return demands
    }

    private inline fun change(
        service: ServiceId,
        difference: Int,
        more: (Count) -> Unit,
    ) {
        val now = clock.markNow()
        val count = counts.getOrPut(service) { Count() }
        val since = maxOf(count.changedAt ?: now, readAt)
        count.busy += count.inFlight * (now - since).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        count.inFlight += difference
        count.changedAt = now
        more(count)
    }

    private companion object {
        const val SHORTEST_SECONDS = 0.05
    }
}
