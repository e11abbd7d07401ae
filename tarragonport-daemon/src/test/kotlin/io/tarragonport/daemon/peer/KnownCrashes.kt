package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashRecord

/** Crashes that a VM of a test heard of. */
internal class KnownCrashes : CrashRecords {
    val known = LinkedHashSet<CrashRecord>()

    override fun merge(sightings: List<CrashRecord>) {
        known += sightings
    }

    override fun sightings(): List<CrashRecord> = known.toList()
}
