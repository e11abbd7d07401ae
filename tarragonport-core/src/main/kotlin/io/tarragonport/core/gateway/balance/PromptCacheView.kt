package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptPart

/**
 * Prompt parts that a model engine is believed to keep, by what was sent to it.
 *
 * The engine drops the parts that were used least recently; so does this view, within [capacityTokens].
 */
class PromptCacheView {
    private val parts = LinkedHashMap<String, Int>(16, 0.75f, true)
    private var heldTokens = 0L

    /** Tokens that the engine keeps; unlimited until the configuration says otherwise. */
    var capacityTokens = Long.MAX_VALUE

    /** Leading tokens of [prompt] that need not be read again. */
    fun knownTokens(prompt: List<PromptPart>): Int {
        var known = 0
        for (part in prompt) {
            if (part.id !in parts) break
            known += part.tokens
        }
        return known
    }

    /** The engine was sent a prompt with [shared] parts. */
    fun sent(shared: List<PromptPart>) {
        shared.forEach { part ->
            if (parts.put(part.id, part.tokens) == null) heldTokens += part.tokens
        }
        while (heldTokens > capacityTokens && parts.isNotEmpty()) {
            val oldest = parts.entries.first()
            parts.remove(oldest.key)
            heldTokens -= oldest.value
        }
    }

    /** The engine started again and keeps nothing. */
    fun clear() {
        parts.clear()
        heldTokens = 0
    }
}
