package io.tarragonport.daemon.status

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.api.status.ClassStatus
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts request outcomes by class since process start, for the VM status; safe to call from any thread. */
class ClassCounters {
    private class Counts {
        val completed = LongAdder()
        val inTime = LongAdder()
        val refused = LongAdder()
        val failed = LongAdder()
    }

    private val counts = ConcurrentHashMap<RequestClassId, Counts>()

    /** Counts a complete response; [inTime] if it met every latency objective of its class. */
    fun completed(
        requestClass: RequestClassId,
        inTime: Boolean,
    ) {
        val classCounts = countsOf(requestClass)
        classCounts.completed.increment()
        if (inTime) {
            classCounts.inTime.increment()
        }
    }

    /** Counts a request that was refused without running. */
    fun refused(requestClass: RequestClassId) = countsOf(requestClass).refused.increment()

    /** Counts a request that ran or may have run and ended with an error. */
    fun failed(requestClass: RequestClassId) = countsOf(requestClass).failed.increment()

    /** Counters of [classes], including those without requests. */
    fun snapshot(classes: List<RequestClass>): List<ClassStatus> =
        classes.map {
            val classCounts = countsOf(it.id)
            ClassStatus(
                id = it.id,
                tier = it.tier,
                completed = classCounts.completed.sum(),
                inTime = classCounts.inTime.sum(),
                refused = classCounts.refused.sum(),
                failed = classCounts.failed.sum(),
            )
        }

    private fun countsOf(requestClass: RequestClassId): Counts = counts.computeIfAbsent(requestClass) { Counts() }
}
