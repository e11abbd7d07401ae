package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.core.routing.RendezvousHash

/** Ranks engines for the shared parts of a prompt, identically on all VMs. */
internal object PromptRank {
    /** The highest-ranked engine for [prompt], null if the prompt has no shared part or there is no engine. */
    fun first(
        prompt: PromptShape,
        engines: List<TrackedServer>,
    ): TrackedServer? {
        val part = prompt.sharedParts.lastOrNull() ?: return null
        val key = RendezvousHash.of(part.id)
        return engines.maxByOrNull { RendezvousHash.weight(key, it.idHash) }
    }
}
