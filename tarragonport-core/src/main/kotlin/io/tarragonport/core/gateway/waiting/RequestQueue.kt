package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.id.ServiceId

/**
 * Queue of requests that wait for a backend server, ordered by priority and then by arrival.
 *
 * New requests pass through the queue as well, so that none takes the capacity for which a more urgent or an older one
 * waits.
 */
class RequestQueue<T : QueuedRequest> {
    private class Entry<T>(
        val priority: Int,
        val number: Long,
        val item: T,
    )

    private val entries = sortedSetOf(compareBy<Entry<T>>({ it.priority }, { it.number }))
    private val byItem = HashMap<T, Entry<T>>()
    private var nextNumber = 0L

    val size: Int get() = entries.size
    val isEmpty: Boolean get() = entries.isEmpty()

    operator fun contains(item: T): Boolean = item in byItem

    /** Adds [item] after the other items of its priority. */
    fun add(item: T) {
        insert(Entry(item.priority, nextNumber++, item))
    }

    private fun insert(entry: Entry<T>) {
        entries += entry
        byItem[entry.item] = entry
    }

    /** Dispatches [item], after any items before it in the order; it is added if that is not possible yet. */
    fun submit(item: T) {
        if (isEmpty && item.dispatch()) return
        add(item)
        if (size > 1) dispatch()
    }

    /** Removes [item]; returns false if it was not queued. */
    fun remove(item: T): Boolean {
        val entry = byItem.remove(item) ?: return false
        return entries.remove(entry)
    }

    /**
     * Dispatches items in order. A service counts as full once an item finds no server there, unless servers were
     * excluded for that item only.
     */
    fun dispatch() {
        if (isEmpty) return
        val fullServices = HashSet<ServiceId>()
        entries.toList().forEach { entry ->
            val item = entry.item
            // An item may have been removed or dispatched while an earlier one was dispatched.
            if (item !in this || item.service in fullServices) return@forEach
            // A failure while it is dispatched can lead back here, where it must not be found again.
            remove(item)
            if (item.dispatch()) return@forEach
            insert(entry)
            if (!item.excludesServers) fullServices += item.service
        }
    }
}
