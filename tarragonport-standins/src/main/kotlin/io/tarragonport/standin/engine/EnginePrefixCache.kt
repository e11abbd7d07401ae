package io.tarragonport.standin.engine

import io.tarragonport.api.backend.CacheEvent

/**
 * LRU prefix cache of an engine stand-in with a capacity of [capacity] blocks.
 *
 * Each stored or evicted block is recorded as an event. With [gapEvery] set to n, every nth event is omitted but
 * keeps its sequence number, so that readers see a gap in the sequence.
 */
class EnginePrefixCache(
    private val capacity: Int,
) {
    private val lock = Any()
    private val blocks = LinkedHashMap<String, Unit>(16, 0.75f, true)
    private val events = ArrayDeque<CacheEvent>()
    private var sequence = 0L

    @Volatile var gapEvery = 0

    val usedShare: Double get() = synchronized(lock) { blocks.size.toDouble() / capacity }

    /** Stores the [prefixes] of a prompt, given longest first; returns the share that was already cached. */
    fun touch(prefixes: List<String>): Double =
        synchronized(lock) {
            if (prefixes.isEmpty()) return 0.0
            val cached = prefixes.count { it in blocks }
            prefixes.asReversed().forEach(::store)
            cached.toDouble() / prefixes.size
        }

    private fun store(block: String) {
        if (blocks.put(block, Unit) == null) record(block, stored = true)
        if (blocks.size <= capacity) return
        val oldest = blocks.keys.first()
        blocks.remove(oldest)
        record(oldest, stored = false)
    }

    private fun record(
        block: String,
        stored: Boolean,
    ) {
        sequence++
        if (gapEvery > 0 && sequence % gapEvery == 0L) return
        events.addLast(CacheEvent(sequence, block, stored))
        if (events.size > RETAINED_EVENTS) events.removeFirst()
    }

    /** Events with a sequence number above [after]; only the last [RETAINED_EVENTS] are retained. */
    fun eventsAfter(after: Long): List<CacheEvent> = synchronized(lock) { events.filter { it.sequence > after } }

    companion object {
        const val RETAINED_EVENTS = 10_000
    }
}
