package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The load of each VM at the servers for which this VM keeps it.
 *
 * VMs pass on totals rather than differences, so that a lost or repeated message does no harm. A total that was not
 * repeated within [LIFETIME] is forgotten: its VM has ended, was cut off, or passes its loads to another VM by now.
 */
class LoadLedger(
    private val clock: TimeSource.WithComparableMarks,
) {
    private class Entry(
        val load: ServerLoad,
        val receivedAt: ComparableTimeMark,
    )

    private val entries = HashMap<BackendServerId, HashMap<VmId, Entry>>()

    /** Number of servers with load. */
    val size: Int get() = entries.size

    /** Sets the load of the VM [from] at the servers in [loads]. */
    fun update(
        from: VmId,
        loads: Map<BackendServerId, ServerLoad>,
    ) {
        val now = clock.markNow()
        loads.forEach { (server, load) ->
            if (load == ServerLoad.NONE) {
                entries[server]?.remove(from)
            } else {
                entries.getOrPut(server) { HashMap() }[from] = Entry(load, now)
            }
        }
    }

    /** Load of all VMs but [asking] at [server]. */
    fun others(
        server: BackendServerId,
        asking: VmId,
    ): ServerLoad {
        val loads = entries[server] ?: return ServerLoad.NONE
        val now = clock.markNow()
        loads.values.removeIf { now - it.receivedAt > LIFETIME }
        if (loads.isEmpty()) entries -= server
        return loads.filterKeys { it != asking }.values.fold(ServerLoad.NONE) { sum, entry -> sum + entry.load }
    }

    companion object {
        /** Three intervals at which VMs of the largest fleet repeat their loads. */
        val LIFETIME: Duration = 4.seconds
    }
}
