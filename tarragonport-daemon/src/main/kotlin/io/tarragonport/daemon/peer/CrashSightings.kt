package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashSighting

/** The crashes recorded on this VM; safe to call from any thread. */
interface CrashSightings {
    /** Merges crashes recorded by a peer. */
    fun merge(sightings: List<CrashSighting>)

    /** All crashes that have not expired. */
    fun sightings(): List<CrashSighting>
}
