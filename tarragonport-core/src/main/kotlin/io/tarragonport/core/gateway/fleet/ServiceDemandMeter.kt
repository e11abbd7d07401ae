package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Measures the load of this VM on each service between two readings. Thread-safe. */
class ServiceDemandMeter(
    private val clock: TimeSource.WithComparableMarks,
) {
    private class Count {
        var readTokens = 0L
        var inFlight = 0
        var requestSeconds = 0.0
        var changedAt: ComparableTimeMark? = null
    }

    private val counts = HashMap<ServiceId, Count>()
    private var lastReadAt = clock.markNow()

    /** Records that a request was sent for which an engine has to process [tokens]. */
    @Synchronized
    fun requestSent(
        service: ServiceId,
        tokens: Int,
    ) = change(service, 1) { it.readTokens += tokens }

    /** Records the end of a request. */
    @Synchronized
    fun requestEnded(service: ServiceId) = change(service, -1) {}

    /** Returns the load since the last reading. */
    @Synchronized
    fun read(): Map<ServiceId, ServiceDemand> {
        val now = clock.markNow()
        val seconds = (now - lastReadAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(MIN_SECONDS)
        val demands =
            counts.mapValues { (service, count) ->
                change(service, 0) {}
                val demand = ServiceDemand(count.readTokens / seconds, count.requestSeconds / seconds)
                count.readTokens = 0
                count.requestSeconds = 0.0
                demand
            }
        lastReadAt = now
        return demands
    }

    private inline fun change(
        service: ServiceId,
        difference: Int,
        update: (Count) -> Unit,
    ) {
        val now = clock.markNow()
        val count = counts.getOrPut(service) { Count() }
        val countedFrom = maxOf(count.changedAt ?: now, lastReadAt)
        count.requestSeconds += count.inFlight * (now - countedFrom).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        count.inFlight += difference
        count.changedAt = now
        update(count)
    }

    private companion object {
        const val MIN_SECONDS = 0.05
    }
}
