package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashSighting

/** Records the crashes that a VM of a test received. */
internal class KnownCrashes : CrashSightings {
    val known = LinkedHashSet<CrashSighting>()

    override fun merge(sightings: List<CrashSighting>) {
        known += sightings
    }

    override fun sightings(): List<CrashSighting> = known.toList()
}
