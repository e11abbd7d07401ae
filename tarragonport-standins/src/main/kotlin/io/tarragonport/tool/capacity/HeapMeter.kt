package io.tarragonport.tool.capacity

import java.lang.management.ManagementFactory

/** Measures the heap that is retained after garbage collection. */
object HeapMeter {
    /** Number of bytes that the object returned by [build] retains. */
    fun retained(build: () -> Any): Long {
        val heapBefore = usedHeap()
        val built = build()
        val heapAfter = usedHeap()
        // Uses the object after the measurement, so that the garbage collector cannot free it earlier.
        check(built.hashCode() != heapBefore.hashCode() || heapBefore > 0) { "the measured object must stay reachable" }
        return heapAfter - heapBefore
    }

    private fun usedHeap(): Long {
        repeat(GC_RUNS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    // The first collection clears references to objects that only a later one can free.
    private const val GC_RUNS = 3
}
