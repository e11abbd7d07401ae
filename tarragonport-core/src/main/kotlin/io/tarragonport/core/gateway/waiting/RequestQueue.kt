package io.tarragonport.core.gateway.waiting

/**
 * Queue of requests that wait for a backend server, ordered by priority and then by arrival.
 *
 * Lower priority numbers come first.
 */
class RequestQueue<T> {
    private class Entry<T>(
        val priority: Int,
        val number: Long,
        val item: T,
    )

    private val entries = sortedSetOf(compareBy<Entry<T>>({ it.priority }, { it.number }))
    private val byItem = HashMap<T, Entry<T>>()
    private var nextNumber = 0L

    val size: Int get() = entries.size

    /** Adds [item] after the other items of its priority. */
    fun add(
        item: T,
        priority: Int,
    ) {
        val entry = Entry(priority, nextNumber++, item)
        entries += entry
        byItem[item] = entry
    }

    /** Removes [item]; returns false if it was not queued. */
    fun remove(item: T): Boolean {
        val entry = byItem.remove(item) ?: return false
        return entries.remove(entry)
    }

    /** Returns a copy of the items in order, unaffected by later removals. */
    fun ordered(): List<T> = entries.map { it.item }
}
