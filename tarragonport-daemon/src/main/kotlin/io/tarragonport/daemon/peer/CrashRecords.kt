package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashRecord

/** The crashes recorded on this VM; safe to call from any thread. */
interface CrashRecords {
    /** Merges crashes recorded by a peer. */
    fun merge(records: List<CrashRecord>)

    /** All crashes that have not expired. */
    fun records(): List<CrashRecord>
}
