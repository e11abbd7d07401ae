package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.id.OrganisationId
import java.util.PriorityQueue

/**
 * Order of the waiting requests of one priority.
 *
 * Organisations take turns by the work that was dispatched for them, and so do the sessions of one organisation; the
 * requests of a session keep their order of arrival. A large request is as much work as several small ones, but waits
 * no longer for its first turn.
 */
internal class FairOrder {
    private data class Session(
        val organisation: OrganisationId?,
        val session: String?,
    )

    private class Turn<T>(
        val start: Double,
        val number: Long,
        val remaining: T,
    )

    private val organisations = FairShares<OrganisationId?>()
    private val sessions = FairShares<Session>()

    /** Records that [item] begins to wait. */
    fun waits(item: QueuedRequest) {
        organisations.waits(item.organisation)
        sessions.waits(session(item))
    }

    /** Records that [item] was dispatched while others waited. */
    fun dispatched(item: QueuedRequest) {
        organisations.dispatched(item.organisation, item.work)
        sessions.dispatched(session(item), item.work)
    }

    /** Forgets organisations and sessions without a request in [waiting]. */
    fun retain(waiting: Collection<QueuedRequest>) {
        organisations.retain(waiting.mapTo(HashSet()) { it.organisation })
        sessions.retain(waiting.mapTo(HashSet()) { session(it) })
    }

    /** [waiting], given in order of arrival, in the order in which the requests are to be dispatched. */
    fun <T : QueuedRequest> of(waiting: List<T>): List<T> {
        if (waiting.size < 2) return waiting
        val byOrganisation =
            waiting.groupBy { it.organisation }.mapValues { (_, items) ->
                interleave(items.groupBy(::session), sessions::of)
            }
        return interleave(byOrganisation, organisations::of)
    }

    /** Merges the lists of [groups]: the group that got least, counting what is ahead in the merged list, is next. */
    private fun <K, T : QueuedRequest> interleave(
        groups: Map<K, List<T>>,
        dispatched: (K) -> Double,
    ): List<T> {
        if (groups.size == 1) return groups.values.single()
        val turns = PriorityQueue<Turn<Iterator<T>>>(compareBy({ it.start }, { it.number }))
        groups.entries.forEachIndexed { index, (key, items) ->
            turns += Turn(dispatched(key), index.toLong(), items.iterator())
        }
        return buildList {
            while (turns.isNotEmpty()) {
                val turn = turns.remove()
                val item = turn.remaining.next()
                add(item)
                if (turn.remaining.hasNext()) turns += Turn(turn.start + item.work, turn.number, turn.remaining)
            }
        }
    }

    private fun session(item: QueuedRequest) = Session(item.organisation, item.session)
}
