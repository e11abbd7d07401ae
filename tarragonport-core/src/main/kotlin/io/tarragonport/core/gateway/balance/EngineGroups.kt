package io.tarragonport.core.gateway.balance

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.routing.RendezvousHash
import kotlin.math.ceil

/**
 * Sets some engines of a service aside for short prompts, the same on every VM and spread over failure domains.
 *
 * The choice is a preference: requests use the other group when their own is busy.
 */
object EngineGroups {
    /** Engines of [states] that are meant for short prompts; empty if there are too few to divide. */
    fun shortPromptEngines(states: List<ServerState>): Set<BackendServerId> {
        if (states.size < LEAST_ENGINES) return emptySet()
        val byDomain = states.groupBy { it.registered.domain }
        val perDomain = ceil(states.size * SHORT_SHARE / byDomain.size).toInt()
        return byDomain.values
            .flatMap { domain ->
                domain
                    .map { it.registered.id }
                    .sortedBy { RendezvousHash.weight(GROUP_KEY, RendezvousHash.of(it.value)) }
                    .take(minOf(perDomain, domain.size - 1))
            }.toSet()
    }

    /** Below this number, one engine less for long prompts costs more than their separation gains. */
    private const val LEAST_ENGINES = 5

    /** Part of the engines: quick chats make up a fifth of the prompt tokens and half of the streams. */
    private const val SHORT_SHARE = 0.22
    private val GROUP_KEY = RendezvousHash.of("short prompts")
}
