package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.core.routing.RendezvousHash

/** Ranks engines for the shared parts of a prompt, alike on all VMs. */
internal object PromptRank {
    /** The engine of the highest rank for [prompt], null if it shares nothing or there is no engine. */
    fun first(
        prompt: PromptShape,
        engines: List<TrackedServer>,
    ): TrackedServer? {
        val part = prompt.sharedParts.lastOrNull() ?: return null
        val key = RendezvousHash.of(part.id)
        return engines.maxByOrNull { RendezvousHash.weight(key, it.idHash) }
    }
}
