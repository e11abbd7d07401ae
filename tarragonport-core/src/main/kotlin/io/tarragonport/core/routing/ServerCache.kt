package io.tarragonport.core.routing

import io.tarragonport.api.backend.CacheEvent

/**
 * Estimated contents of the prefix cache of one server.
 *
 * Blocks are added by cache events, which arrive late, and by this VM's own sends, which precede the events. After a
 * gap in the sequence numbers evictions may have been missed, so blocks added before the gap count half until an event
 * or a send confirms them.
 */
internal class ServerCache {
    /** The generation in which each block was last confirmed; a gap begins a new generation. */
    private val generations =
        object : LinkedHashMap<String, Int>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Int>) = size > MAXIMUM_BLOCKS
        }
    private var lastSequence = 0L
    private var generation = 0

    fun apply(events: List<CacheEvent>) =
        events.forEach { event ->
            if (event.sequence <= lastSequence) return@forEach
            if (lastSequence > 0 && event.sequence > lastSequence + 1) generation++
            lastSequence = event.sequence
            if (event.stored) generations[event.block] = generation else generations.remove(event.block)
        }

    /** Adds [blocks] of a prompt that was sent to the server, which will store them. */
    fun sent(blocks: List<String>) = blocks.forEach { generations[it] = generation }

    /** Share of [blocks] that is expected to be cached, counted from the start of the prompt. */
    fun hitShare(blocks: List<String>): Double {
        if (blocks.isEmpty()) return 0.0
        var hits = 0.0
        for (block in blocks) {
            val blockGeneration = generations[block] ?: break
            hits += if (blockGeneration == generation) 1.0 else UNCONFIRMED_WEIGHT
        }
        return hits / blocks.size
    }

    fun clear() = generations.clear()

    private companion object {
        /** A block takes about 100 bytes, so 64 servers per model take about 3 MB. */
        const val MAXIMUM_BLOCKS = 512
        const val UNCONFIRMED_WEIGHT = 0.5
    }
}
