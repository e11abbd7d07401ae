package io.tarragonport.daemon.dispatch

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/**
 * Limits concurrent exports of one server to [MAXIMUM_CONCURRENT] and starts waiting ones in ascending order number, so
 * that the streams that the policy migrates first can use the time until the server leaves. Safe to call from any
 * thread.
 */
internal class ExportQueue {
    private class Waiter(
        val order: Long,
        val turn: CompletableDeferred<Unit> = CompletableDeferred(),
    )

    private class Source {
        var running = 0
        val waiters = PriorityQueue<Waiter>(compareBy { it.order })
    }

    private val lock = Any()
    private val sources = HashMap<String, Source>()

    /** Runs [block] once an export slot of [source] is free and no lower [order] waits for it. */
    suspend fun <T> runInOrder(
        source: String,
        order: Long,
        block: suspend () -> T,
    ): T {
        acquire(source, order)
        try {
            return block()
        } finally {
            release(source)
        }
    }

    private suspend fun acquire(
        address: String,
        order: Long,
    ) {
        val waiter =
            synchronized(lock) {
                val source = sources.getOrPut(address) { Source() }
                if (source.running < MAXIMUM_CONCURRENT) {
                    source.running++
                    return
                }
                Waiter(order).also(source.waiters::add)
            }
        try {
            waiter.turn.await()
        } catch (cause: Throwable) {
            val granted = synchronized(lock) { sources[address]?.waiters?.remove(waiter) != true }
            if (granted) release(address)
            throw cause
        }
    }

    private fun release(address: String) {
        val next =
            synchronized(lock) {
                val source = sources.getValue(address)
                source.waiters.poll().also {
                    if (it == null && --source.running == 0) sources.remove(address)
                }
            }
        next?.turn?.complete(Unit)
    }

    companion object {
        /** More concurrent exports would share the server's network bandwidth and all finish late. */
        const val MAXIMUM_CONCURRENT = 4
    }
}
