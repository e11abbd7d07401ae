package io.tarragonport.core.placement

import io.tarragonport.api.id.FailureDomainId

/** A pool with its demand and the servers that count towards its capacity. */
internal class PoolView(
    val pool: PlacementPool,
    val load: PoolLoad,
    val servers: List<PoolServer>,
) {
    fun count(): WantedServers {
        val cheap = servers.count { it.capacity == CapacityKind.CHEAP }
        return WantedServers(servers.size - cheap, cheap)
    }

    fun without(removed: List<PoolServer>): PoolView = PoolView(pool, load, servers - removed.toSet())

    /** Up to [count] removable servers of [kind], each from the domain with the most remaining servers. */
    fun removalCandidates(
        kind: CapacityKind,
        count: Int,
        currentDomains: Set<FailureDomainId>,
    ): List<PoolServer> {
        val remaining = servers.filter { it.capacity == kind }.toMutableList()
        return (1..count).mapNotNull {
            val chosen =
                remaining
                    .filter { it.removable && it.domain in currentDomains }
                    .maxWithOrNull(
                        compareBy<PoolServer> { server -> remaining.count { it.domain == server.domain } }
                            .thenBy { it.id?.value.orEmpty() },
                    )
            chosen?.also { remaining.remove(it) }
        }
    }
}
