package io.tarragonport.daemon.placement

import io.tarragonport.api.event.LogEvent

/** Log events of placement and orders. */
object PlacementEvents {
    val DECIDED =
        LogEvent(1310, "placement_decided", "Required and present servers of a pool, with the resulting orders")
    val ORDER_ACCEPTED = LogEvent(1311, "order_accepted", "The backend server interface accepted an order")
    val ORDER_UNKNOWN = LogEvent(1312, "order_unknown", "An order got no response; it is retried with the same id")
    val ORDER_REJECTED = LogEvent(1313, "order_rejected", "The backend server interface rejected an order")
    val ORDER_WITHHELD =
        LogEvent(1314, "order_withheld", "An order was not sent or was refused: the lease is not valid for long enough")
    val INVENTORY_FAILED =
        LogEvent(
            1315,
            "inventory_failed",
            "A failure domain's inventory could not be read; the last one remains in use",
        )
    val RECLAIM_NOTICE = LogEvent(1316, "reclaim_notice", "The platform announced that it reclaims a server")
    val CHEAP_UNAVAILABLE =
        LogEvent(
            1317,
            "cheap_servers_unavailable",
            "No cheap servers are available for a pool; ordinary servers replace them",
        )
    val INVENTORY_INCOMPLETE =
        LogEvent(
            1318,
            "inventory_incomplete",
            "No decision: a failure domain has not responded since this VM took the lease",
        )
    val DOMAIN_LOST =
        LogEvent(1319, "domain_lost", "A failure domain has not responded for long; its servers are no longer counted")

    /** All events of this package. */
    val ALL =
        listOf(
            DECIDED,
            ORDER_ACCEPTED,
            ORDER_UNKNOWN,
            ORDER_REJECTED,
            ORDER_WITHHELD,
            INVENTORY_FAILED,
            RECLAIM_NOTICE,
            CHEAP_UNAVAILABLE,
            INVENTORY_INCOMPLETE,
            DOMAIN_LOST,
        )
}
