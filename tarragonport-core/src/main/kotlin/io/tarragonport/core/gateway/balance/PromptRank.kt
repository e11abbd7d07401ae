package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.core.routing.RendezvousHash

/** Ranks engines for the shared parts of a prompt, identically on all VMs. */
internal object PromptRank {
    /** The key by which engines are ranked for [prompt], null if the prompt has no shared part. */
    fun key(prompt: PromptShape): Long? = prompt.sharedParts.lastOrNull()?.let { RendezvousHash.of(it.id) }

    /** The highest-ranked of those [engines] that [accepted] accepts, null if there is none. */
    inline fun first(
        key: Long,
        engines: List<TrackedServer>,
        accepted: (TrackedServer) -> Boolean,
    ): TrackedServer? {
        var best: TrackedServer? = null
        var bestWeight = Long.MIN_VALUE
        for (engine in engines) {
            if (!accepted(engine)) continue
            val weight = RendezvousHash.weight(key, engine.idHash)
            if (best == null || weight > bestWeight) {
                best = engine
                bestWeight = weight
            }
        }
        return best
    }
}
