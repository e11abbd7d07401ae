package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptPart

/**
 * Estimate of the prompt parts in a model engine's cache, derived from the prompts that were sent to it.
 *
 * Like the engine, it evicts the least recently used parts beyond [capacityTokens], and beyond [MAXIMUM_PARTS], because
 * parts can be as short as callers like.
 */
class PromptCacheEstimate {
    private val parts = LinkedHashMap<String, Int>(16, 0.75f, true)
    private var totalTokens = 0L

    /** Capacity of the engine's cache in tokens; unlimited until it is configured. */
    var capacityTokens = Long.MAX_VALUE

    /** Number of leading tokens of [prompt] that are expected to be cached. */
    fun cachedTokens(prompt: List<PromptPart>): Int {
        var cached = 0
        for (part in prompt) {
            if (part.id !in parts) break
            cached += part.tokens
        }
        return cached
    }

    /** Records that a prompt with the parts [shared] was sent to the engine. */
    fun sent(shared: List<PromptPart>) {
        shared.forEach { part ->
            if (parts.put(part.id, part.tokens) == null) totalTokens += part.tokens
        }
        while ((totalTokens > capacityTokens || parts.size > MAXIMUM_PARTS) && parts.isNotEmpty()) {
            val oldest = parts.entries.first()
            parts.remove(oldest.key)
            totalTokens -= oldest.value
        }
    }

    /** Clears the estimate after a restart of the engine. */
    fun clear() {
        parts.clear()
        totalTokens = 0
    }

    companion object {
        /** More than an engine keeps of parts of usual length, and half a megabyte of memory at most. */
        const val MAXIMUM_PARTS = 4_096
    }
}
