package io.tarragonport.standin.engine

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** Grants a fixed number of slots by priority (1 is highest), then in order of arrival; thread-safe. */
class PrioritySemaphore(
    private val slots: Int,
) {
    private class Waiter(
        val priority: Int,
        val arrival: Long,
        val slotGranted: CompletableDeferred<Unit> = CompletableDeferred(),
    )

    private val lock = Any()
    private val waiters = PriorityQueue(compareBy<Waiter>({ it.priority }, { it.arrival }))
    private var running = 0
    private var arrivals = 0L

    val runningCount: Int get() = synchronized(lock) { running }
    val waitingCount: Int get() = synchronized(lock) { waiters.size }

    /** Runs [block] while holding a slot. */
    suspend fun <T> withSlot(
        priority: Int,
        block: suspend () -> T,
    ): T {
        acquire(priority)
        try {
            return block()
        } finally {
            release()
        }
    }

    private suspend fun acquire(priority: Int) {
        val waiter =
            synchronized(lock) {
                if (running < slots) {
                    running++
                    return
                }
                Waiter(priority, arrivals++).also(waiters::add)
            }
        try {
            waiter.slotGranted.await()
        } catch (cause: Throwable) {
            val alreadyGranted = synchronized(lock) { !waiters.remove(waiter) }
            if (alreadyGranted) release()
            throw cause
        }
    }

    private fun release() {
        val next =
            synchronized(lock) {
                val waiter = waiters.poll()
                if (waiter == null) running--
                waiter
            }
        next?.slotGranted?.complete(Unit)
    }
}
