package io.tarragonport.tool.capacity

import java.util.concurrent.atomic.AtomicLong

/** Calls to the object API; [writes] includes the [conflicts]. */
internal class StoreCount {
    val reads = AtomicLong()
    val writes = AtomicLong()
    val conflicts = AtomicLong()
    val bytesRead = AtomicLong()
    val bytesWritten = AtomicLong()
}
