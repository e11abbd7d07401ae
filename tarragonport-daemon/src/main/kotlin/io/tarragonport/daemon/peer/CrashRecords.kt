package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashRecord

/** The crashes that this VM knows of; safe to call from any thread. */
interface CrashRecords {
    /** Takes over what a peer has seen. */
    fun merge(sightings: List<CrashRecord>)

    /** All crashes that have not expired. */
    fun sightings(): List<CrashRecord>
}
