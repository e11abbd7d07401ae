package io.tarragonport.daemon.placement

import io.tarragonport.api.event.LogEvent

/** Log events of weight transfers and of orders to load models. */
object WeightEvents {
    val TRANSFER_ACCEPTED =
        LogEvent(1320, "weight_transfer_accepted", "The weight store accepted a transfer to a started model engine")
    val TRANSFER_THROTTLED =
        LogEvent(1321, "weight_transfer_throttled", "The weight store throttled a transfer; further transfers wait")
    val TRANSFER_FAILED =
        LogEvent(1322, "weight_transfer_failed", "A transfer was rejected or got no response; it is requested again")
    val LOAD_ORDERED =
        LogEvent(1323, "model_load_ordered", "A model engine accepted the order to load its model")
    val LOAD_ORDER_FAILED =
        LogEvent(1324, "model_load_order_failed", "An order to load a model failed; it is retried with the same id")
    val LOADED =
        LogEvent(1325, "model_loaded", "The load report of a model engine shows the ordered model")
    val LOAD_LATE =
        LogEvent(1326, "model_load_late", "An ordered model was not loaded in time; its transfer is requested again")

    /** All events of this object. */
    val ALL =
        listOf(
            TRANSFER_ACCEPTED,
            TRANSFER_THROTTLED,
            TRANSFER_FAILED,
            LOAD_ORDERED,
            LOAD_ORDER_FAILED,
            LOADED,
            LOAD_LATE,
        )
}
