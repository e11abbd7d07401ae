package io.tarragonport.standin.engine

import io.tarragonport.api.backend.ModelOrder

/** Model orders received by an engine stand-in; rejects stale fencing tokens if fencing is checked. */
class ModelOrderLog {
    private val lock = Any()
    private val received = mutableListOf<ReceivedModelOrder>()

    /** Records [order]; returns false if it is rejected. An order id that was accepted before is marked as repeated. */
    fun accept(
        order: ModelOrder,
        checkFencing: Boolean,
    ): Boolean =
        synchronized(lock) {
            val highest = received.filter { it.accepted }.maxOfOrNull { it.order.fencingToken }
            val accepted = !checkFencing || highest == null || order.fencingToken >= highest
            val repeated = received.any { it.accepted && it.order.orderId == order.orderId }
            received.add(ReceivedModelOrder(order, accepted, repeated))
            accepted
        }

    fun snapshot(): List<ReceivedModelOrder> = synchronized(lock) { received.toList() }
}
