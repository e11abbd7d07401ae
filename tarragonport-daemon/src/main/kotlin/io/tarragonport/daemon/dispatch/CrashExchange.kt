package io.tarragonport.daemon.dispatch

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.daemon.peer.CrashRecords
import io.tarragonport.daemon.peer.PeerGossip

/**
 * Shares backend server crashes with the other VMs, so that every VM blocks a request that crashes servers.
 *
 * VMs of the region are notified immediately by broadcast; gossip carries crashes to other regions and covers lost
 * broadcasts. Gossip counts crashes by key; the key is fingerprint and server, because two VMs that observed the same
 * crash of one server must not count it twice. A count that rises again within seconds is the same crash observed by a
 * further VM, which [CrashHistory] deduplicates.
 */
class CrashExchange(
    private val gossip: PeerGossip,
    private val history: CrashHistory,
    private val dispatcher: () -> Dispatcher,
) : CrashRecords {
    private var lastCounts: Map<String, Int> = emptyMap()

    /** Merges the crash counts of peers until cancelled. */
    suspend fun run(): Unit = gossip.crashes.collect(::mergeCounts)

    override fun merge(records: List<CrashRecord>) {
        dispatcher().withPolicy { history.merge(records) }
    }

    override fun records(): List<CrashRecord> = dispatcher().withPolicy { history.records() }

    /** Records each crash on this VM, adds it to gossip and broadcasts it to the region with [announce]. */
    fun reporter(announce: suspend (CrashRecord) -> Unit) =
        CrashReporter { request, server -> report(request, server, announce) }

    private suspend fun report(
        request: PendingRequest,
        server: BackendServerId,
        announce: suspend (CrashRecord) -> Unit,
    ) {
        if (request.fingerprint.isEmpty()) return
        val record = CrashRecord(request.fingerprint, server)
        merge(listOf(record))
        gossip.reportCrash(request.fingerprint + SEPARATOR + server.value)
        announce(record)
    }

    private fun mergeCounts(counts: Map<String, Int>) {
        val increased = counts.filter { (key, count) -> count > (lastCounts[key] ?: 0) }.keys
        lastCounts = counts
        val records = increased.mapNotNull(::parseRecord)
        if (records.isNotEmpty()) merge(records)
    }

    private fun parseRecord(key: String): CrashRecord? {
        val fingerprint = key.substringBefore(SEPARATOR, "")
        return if (fingerprint.isEmpty()) {
            null
        } else {
            CrashRecord(fingerprint, BackendServerId(key.substringAfter(SEPARATOR)))
        }
    }

    private companion object {
        const val SEPARATOR = '@'
    }
}
