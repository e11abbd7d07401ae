package io.tarragonport.standin.platform

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Counts calls by interface and kind, and the watches that are currently waiting. */
class CallCounter {
    private val calls = ConcurrentHashMap<Pair<PlatformInterface, CallKind>, AtomicLong>()
    private val waiting = AtomicInteger()
    private val peakWaiting = AtomicInteger()

    fun count(
        target: PlatformInterface,
        kind: CallKind,
    ) {
        calls.computeIfAbsent(target to kind) { AtomicLong() }.incrementAndGet()
    }

    /** Counts a watch as waiting while [block] runs. */
    suspend fun <T> whileWaiting(block: suspend () -> T): T {
        val current = waiting.incrementAndGet()
        peakWaiting.updateAndGet { maxOf(it, current) }
        return try {
            block()
        } finally {
            waiting.decrementAndGet()
        }
    }

    fun snapshot(): List<CallCount> =
        PlatformInterface.entries.map { target ->
            CallCount(
                target = target.wireName,
                reads = total(target, CallKind.READ),
                writes = total(target, CallKind.WRITE),
                watches = total(target, CallKind.WATCH),
            )
        }

    fun waitingWatches(): Int = waiting.get()

    fun peakWaitingWatches(): Int = peakWaiting.get()

    private fun total(
        target: PlatformInterface,
        kind: CallKind,
    ): Long = calls[target to kind]?.get() ?: 0
}
