package io.tarragonport.core.gateway.waiting

/**
 * Requests that wait for a backend server, in the order in which they are to be sent: by priority, then by arrival.
 *
 * Lower numbers of priority come first.
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

    /** Adds [item] behind those of its priority. */
    fun add(
        item: T,
        priority: Int,
    ) {
        val entry = Entry(priority, nextNumber++, item)
        entries += entry
        byItem[item] = entry
    }

    /** Removes [item]; false if it was not waiting. */
    fun remove(item: T): Boolean {
        val entry = byItem.remove(item) ?: return false
        return entries.remove(entry)
    }

    /** The items in order, as a copy that stays the same while items are removed. */
    fun ordered(): List<T> = entries.map { it.item }
}
