package io.tarragonport.core.gateway.balance

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.routing.RendezvousHash
import kotlin.math.ceil

/**
 * Sets some engines of a service aside for short prompts, the same on every VM.
 *
 * Quick chats stream for seconds and are cut when their engine is reclaimed, so ordinary engines come first; cheap ones
 * are taken from all failure domains in turn. The choice is a preference: requests use the other group when their own is
 * busy.
 */
object EngineGroups {
    /** Engines of [states] that are meant for short prompts; empty if there are too few to divide. */
    fun shortPromptEngines(states: List<TrackedServer>): Set<BackendServerId> {
        if (states.size < LEAST_ENGINES) return emptySet()
        val inTurn =
            states
                .groupBy { it.registered.domain to it.registered.cheap }
                .values
                .flatMap { group -> group.sortedBy(::rank).mapIndexed { index, state -> index to state } }
                .sortedWith(compareBy({ it.second.registered.cheap }, { it.first }, { rank(it.second) }))
        return inTurn.take(ceil(states.size * SHORT_SHARE).toInt()).map { it.second.registered.id }.toSet()
    }

    private fun rank(state: TrackedServer): Long = RendezvousHash.weight(GROUP_KEY, state.idHash)

    /** Below this number, one engine less for long prompts costs more than their separation gains. */
    private const val LEAST_ENGINES = 5

    /** Part of the engines: quick chats make up a fifth of the prompt tokens and half of the streams. */
    private const val SHORT_SHARE = 0.22
    private val GROUP_KEY = RendezvousHash.of("short prompts")
}
