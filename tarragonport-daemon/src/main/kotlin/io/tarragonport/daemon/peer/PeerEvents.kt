package io.tarragonport.daemon.peer

import io.tarragonport.api.event.LogEvent

/** Log events of membership and peer connections, 1200 to 1299. */
object PeerEvents {
    val MEMBER_LIVE = LogEvent(1201, "member_live", "a VM is counted as live")
    val MEMBER_LOST = LogEvent(1202, "member_lost", "a VM is no longer counted as live")
    val RESUMED = LogEvent(1203, "resumed_from_freeze", "the process was frozen; pending timeouts are discarded")
    val VM_LIST_FAILED = LogEvent(1204, "vm_list_failed", "the VM list could not be read")
    val LEAVING = LogEvent(1205, "leaving", "this VM announces that it leaves")
    val MALFORMED_FRAME = LogEvent(1206, "malformed_frame", "a peer sent an unreadable frame; the connection is closed")
    val LINK_FAILED = LogEvent(1207, "peer_link_failed", "a connection to a peer could not be opened or broke")

    /** Every event of this package. */
    val ALL =
        listOf(
            MEMBER_LIVE,
            MEMBER_LOST,
            RESUMED,
            VM_LIST_FAILED,
            LEAVING,
            MALFORMED_FRAME,
            LINK_FAILED,
        )
}
