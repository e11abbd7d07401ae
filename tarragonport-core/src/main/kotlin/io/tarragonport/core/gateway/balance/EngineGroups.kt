package io.tarragonport.core.gateway.balance

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.routing.RendezvousHash
import kotlin.math.ceil

/**
 * Reserves some engines of a service for short prompts. Every VM computes the same assignment.
 *
 * Short chats stream for seconds, and reclaiming a cheap engine interrupts them. Therefore ordinary engines are
 * reserved before cheap ones, each kind in rotation over the failure domains. The assignment is only a preference,
 * because requests use the other group when their own group is busy.
 */
object EngineGroups {
    /** Those of [engines] that are reserved for short prompts; empty if there are too few engines for two groups. */
    fun shortPromptEngines(engines: List<TrackedServer>): Set<BackendServerId> {
        if (engines.size < MIN_ENGINES) return emptySet()
        val interleaved =
            engines
                .groupBy { it.registered.domain to it.registered.cheap }
                .values
                .flatMap { group -> group.sortedBy(::hashWeight).mapIndexed { index, engine -> index to engine } }
                .sortedWith(compareBy({ it.second.registered.cheap }, { it.first }, { hashWeight(it.second) }))
        return interleaved.take(ceil(engines.size * SHORT_PROMPT_SHARE).toInt()).map { it.second.registered.id }.toSet()
    }

    private fun hashWeight(engine: TrackedServer): Long = RendezvousHash.weight(GROUP_KEY, engine.idHash)

    /** With fewer engines, taking one away from long prompts costs more than the separation gains. */
    private const val MIN_ENGINES = 5

    /** Share of the engines: short chats account for a fifth of the prompt tokens and half of the streams. */
    private const val SHORT_PROMPT_SHARE = 0.22
    private val GROUP_KEY = RendezvousHash.of("short prompts")
}
