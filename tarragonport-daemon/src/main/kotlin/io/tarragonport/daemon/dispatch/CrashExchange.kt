package io.tarragonport.daemon.dispatch

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.daemon.peer.CrashRecords
import io.tarragonport.daemon.peer.PeerGossip

/**
 * Shares backend server crashes with the other VMs, so that a request that crashes servers is held everywhere.
 *
 * VMs of the region are told at once through [announce]; gossip carries crashes to other regions and repairs what was
 * lost. Gossip counts by text; the text is fingerprint and server, because two VMs that saw one crash of one server must
 * not count it twice. A count that rises again within seconds is the same crash seen by a further VM, which the ledger
 * recognises.
 */
class CrashExchange(
    private val gossip: PeerGossip,
    private val ledger: CrashHistory,
    private val dispatcher: () -> Dispatcher,
) : CrashRecords {
    private var seen: Map<String, Int> = emptyMap()

    /** Follows what peers report until it is cancelled. */
    suspend fun run(): Unit = gossip.crashes.collect(::mergeCounts)

    override fun merge(sightings: List<CrashRecord>) = dispatcher().withPolicy { ledger.merge(sightings) }

    override fun sightings(): List<CrashRecord> = dispatcher().withPolicy { ledger.sightings() }

    /** Counts crashes here, then has [announce] tell the region. */
    fun reports(announce: suspend (CrashRecord) -> Unit) =
        CrashReporter { request, server -> report(request, server, announce) }

    private suspend fun report(
        request: PendingRequest,
        server: BackendServerId,
        announce: suspend (CrashRecord) -> Unit,
    ) {
        if (request.fingerprint.isEmpty()) return
        val sighting = CrashRecord(request.fingerprint, server)
        merge(listOf(sighting))
        gossip.reportCrash(request.fingerprint + SEPARATOR + server.value)
        announce(sighting)
    }

    private fun mergeCounts(counts: Map<String, Int>) {
        val risen = counts.filter { (text, count) -> count > (seen[text] ?: 0) }.keys
        seen = counts
        val sightings = risen.mapNotNull(::sighting)
        if (sightings.isNotEmpty()) merge(sightings)
    }

    private fun sighting(text: String): CrashRecord? {
        val fingerprint = text.substringBefore(SEPARATOR, "")
        return if (fingerprint.isEmpty()) {
            null
        } else {
            CrashRecord(fingerprint, BackendServerId(text.substringAfter(SEPARATOR)))
        }
    }

    private companion object {
        const val SEPARATOR = '@'
    }
}
