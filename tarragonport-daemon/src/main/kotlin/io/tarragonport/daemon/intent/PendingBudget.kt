package io.tarragonport.daemon.intent

import java.util.concurrent.atomic.AtomicLong

/** Bounds the memory for settlements that are not durable yet to [limit] bytes; safe to call from any thread. */
internal class PendingBudget(
    private val limit: Long,
) {
    private val used = AtomicLong()

    /** Bytes that are currently reserved. */
    val usedBytes: Long get() = used.get()

    /** Reserves [bytes] and returns true, or returns false if the limit would be exceeded. */
    fun reserve(bytes: Long): Boolean {
        while (true) {
            val before = used.get()
            if (before + bytes > limit) {
                return false
            }
            if (used.compareAndSet(before, before + bytes)) {
                return true
            }
        }
    }

    /** Releases [bytes] that were reserved. */
    fun release(bytes: Long) {
        val remaining = used.addAndGet(-bytes)
        check(remaining >= 0) { "released more bytes than were reserved" }
    }
}
