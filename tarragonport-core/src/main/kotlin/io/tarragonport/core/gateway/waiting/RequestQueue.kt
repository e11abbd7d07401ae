package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId

/**
 * Queue of requests that wait for a backend server, ordered by priority and within one by [FairOrder].
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
    private val orders = HashMap<Int, FairOrder>()
    private var nextNumber = 0L

    val size: Int get() = entries.size
    val isEmpty: Boolean get() = entries.isEmpty()

    operator fun contains(item: T): Boolean = item in byItem

    /** Adds [item], the last to arrive. */
    fun add(item: T) {
        orders.getOrPut(item.priority, ::FairOrder).waits(item)
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

    /** The first [count] items in order. */
    fun first(count: Int): List<T> = ordered().take(count).map { it.item }

    /** Number of items by organisation. */
    fun waitingByOrganisation(): Map<OrganisationId?, Int> = byItem.keys.groupingBy { it.organisation }.eachCount()

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
        ordered().forEach { entry ->
            val item = entry.item
            // An item may have been removed or dispatched while an earlier one was dispatched.
            if (item !in this || item.service in fullServices) return@forEach
            // A failure while it is dispatched can lead back here, where it must not be found again.
            remove(item)
            if (item.dispatch()) return@forEach dispatched(item)
            insert(entry)
            if (!item.excludesServers) fullServices += item.service
        }
    }

    private fun ordered(): List<Entry<T>> {
        if (size < 2) return entries.toList()
        return entries.groupBy { it.priority }.flatMap { (priority, waiting) ->
            orders[priority]?.of(waiting.map { it.item })?.mapNotNull { byItem[it] } ?: waiting
        }
    }

    private fun dispatched(item: T) {
        val order = orders[item.priority] ?: return
        order.dispatched(item)
        order.retain(entries.filter { it.priority == item.priority }.map { it.item })
    }
}
