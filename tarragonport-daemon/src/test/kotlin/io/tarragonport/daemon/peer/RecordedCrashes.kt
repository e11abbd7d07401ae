package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashSighting

/** Records the crashes that a VM of a test received. */
internal class RecordedCrashes : CrashSightings {
    val recorded = LinkedHashSet<CrashSighting>()

    override fun merge(sightings: List<CrashSighting>) {
        recorded += sightings
    }

    override fun sightings(): List<CrashSighting> = recorded.toList()
}
