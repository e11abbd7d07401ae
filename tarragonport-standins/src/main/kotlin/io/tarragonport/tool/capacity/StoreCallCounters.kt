package io.tarragonport.tool.capacity

import java.util.concurrent.atomic.AtomicLong

/** Counters of calls to the object store; [writes] includes [conflicts]. */
internal class StoreCallCounters {
    val reads = AtomicLong()
    val writes = AtomicLong()
    val conflicts = AtomicLong()
    val bytesRead = AtomicLong()
    val bytesWritten = AtomicLong()
}
