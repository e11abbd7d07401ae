package io.tarragonport.tool.bench

import io.tarragonport.api.backend.CacheEvent

/**
 * Prefix cache of one engine with at most [capacityBlocks] blocks. Evicts the least recently used blocks and records an
 * event for every block that it stores or evicts.
 */
class PrefixCache(
    private val capacityBlocks: Int,
) {
    private val blocks = LinkedHashMap<String, Unit>(16, 0.75f, true)
    private val events = ArrayList<CacheEvent>()
    private var sequence = 0L

    /** Number of leading blocks of [prefix] that are cached. */
    fun hits(prefix: List<String>): Int = prefix.takeWhile { blocks.get(it) != null }.size

    fun store(prefix: List<String>) =
        prefix.forEach { block ->
            if (blocks.put(block, Unit) == null) emit(block, stored = true)
            if (blocks.size > capacityBlocks) evict()
        }

    fun clear() = blocks.clear()

    /** Returns the events since the last call. */
    fun takeEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    private fun evict() {
        val oldest = blocks.keys.first()
        blocks.remove(oldest)
        emit(oldest, stored = false)
    }

    private fun emit(
        block: String,
        stored: Boolean,
    ) {
        sequence++
        events += CacheEvent(sequence, block, stored)
    }
}
