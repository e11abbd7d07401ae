package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.core.routing.RendezvousHash

/** Ranks engines for the shared parts of a prompt, identically on all VMs. */
internal object PromptRank {
    /** The key by which engines are ranked for [prompt], null if the prompt has no shared part. */
    fun key(prompt: PromptShape): Long? = prompt.sharedParts.lastOrNull()?.let { RendezvousHash.of(it.id) }

    /**
     * The key by which engines are ranked for [prompt] if not all are compared: its shared parts, if they are long enough
     * to be worth keeping together, otherwise its own part. Requests with a short part in common, which can be most of a
     * service, thus go to all engines.
     */
    fun rankingKey(prompt: PromptShape): Long? =
        key(prompt)?.takeIf { prompt.sharedParts.sumOf { it.tokens } >= PromptPlan.MIN_FETCHED_TOKENS }
            ?: prompt.session?.let(RendezvousHash::of)

    /** The [count] highest-ranked of those [engines] that [accepted] accepts, the highest first. */
    inline fun top(
        key: Long,
        engines: List<TrackedServer>,
        count: Int,
        accepted: (TrackedServer) -> Boolean,
    ): List<TrackedServer> {
        val best = ArrayList<TrackedServer>(count)
        val weights = LongArray(count)
        for (engine in engines) {
            if (!accepted(engine)) continue
            val weight = RendezvousHash.weight(key, engine.idHash)
            if (best.size == count && weight <= weights[count - 1]) continue
            if (best.size == count) best.removeLast()
            var position = best.size
            while (position > 0 && weights[position - 1] < weight) {
                weights[position] = weights[position - 1]
                position--
            }
            weights[position] = weight
            best.add(position, engine)
        }
        return best
    }

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
