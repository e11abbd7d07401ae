package io.tarragonport.core.routing

import io.tarragonport.api.id.BackendServerId

/**
 * Chooses the backend servers whose load is polled in each round of one second.
 *
 * A subset of up to [SMALL_SUBSET] servers is polled completely. Of a larger one, [LARGE_SUBSET_POLLS] servers are
 * polled: preferred servers first (those with own requests in flight, unreachable at the last poll, or never reported),
 * then the others, which get at least [RESERVED_POLLS] polls so that they are all polled eventually. Within each group
 * the least recently polled server comes first.
 */
class LoadPollPlan {
    private val lastRound = HashMap<BackendServerId, Long>()
    private var round = 0L

    /** The servers among [servers] to poll in the next round. */
    fun next(
        servers: Collection<BackendServerId>,
        preferred: Set<BackendServerId>,
    ): List<BackendServerId> {
        round++
        lastRound.keys.retainAll(servers.toSet())
        val chosen = if (servers.size <= SMALL_SUBSET) servers.toList() else leastRecentlyPolled(servers, preferred)
        chosen.forEach { lastRound[it] = round }
        return chosen
    }

    private fun leastRecentlyPolled(
        servers: Collection<BackendServerId>,
        preferred: Set<BackendServerId>,
    ): List<BackendServerId> {
        val (preferredServers, others) = servers.sortedBy { lastRound[it] ?: NEVER }.partition { it in preferred }
        val reserved = minOf(RESERVED_POLLS, others.size)
        val chosen = preferredServers.take(LARGE_SUBSET_POLLS - reserved)
        return chosen + others.take(LARGE_SUBSET_POLLS - chosen.size)
    }

    companion object {
        /** Current deployments have about 20 servers; a VM's subset of a large pool has 64. */
        const val SMALL_SUBSET = 24

        /** Polls per round if the subset is large. */
        const val LARGE_SUBSET_POLLS = 8

        /** Polls per round that are reserved for servers that are not preferred. */
        const val RESERVED_POLLS = 2
        private const val NEVER = 0L
    }
}
