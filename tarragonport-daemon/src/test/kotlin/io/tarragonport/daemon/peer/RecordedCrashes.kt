package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashRecord

/** Records the crashes that a VM of a test received. */
internal class RecordedCrashes : CrashRecords {
    val recorded = LinkedHashSet<CrashRecord>()

    override fun merge(sightings: List<CrashRecord>) {
        recorded += sightings
    }

    override fun sightings(): List<CrashRecord> = recorded.toList()
}
