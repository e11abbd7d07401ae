package io.tarragonport.standin.engine

import io.tarragonport.api.backend.ModelOrder

/** Orders that an engine stand-in received; refuses a fencing number below the highest seen while it checks them. */
class OrderBook {
    private val lock = Any()
    private val received = mutableListOf<ReceivedOrder>()

    /** Records [order]; false if it is refused. A repeat of an order id is accepted and has no further effect. */
    fun accept(
        order: ModelOrder,
        checkFencing: Boolean,
    ): Boolean =
        synchronized(lock) {
            val highest = received.filter { it.accepted }.maxOfOrNull { it.order.fencingToken }
            val accepted = !checkFencing || highest == null || order.fencingToken >= highest
            val repeated = received.any { it.accepted && it.order.orderId == order.orderId }
            received.add(ReceivedOrder(order, accepted, repeated))
            accepted
        }

    fun all(): List<ReceivedOrder> = synchronized(lock) { received.toList() }
}
