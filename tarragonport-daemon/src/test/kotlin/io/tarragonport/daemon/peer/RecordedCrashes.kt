package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.CrashRecord

/** Records the crashes that a VM of a test received. */
internal class RecordedCrashes : CrashRecords {
    val crashes = LinkedHashSet<CrashRecord>()

    override fun merge(records: List<CrashRecord>) {
        crashes += records
    }

    override fun records(): List<CrashRecord> = crashes.toList()
}
