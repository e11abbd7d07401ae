package io.tarragonport.daemon.placement

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.daemon.event.line
import io.tarragonport.daemon.lease.LeaseGuard
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Sends orders under a lease.
 *
 * The lease is checked by the client when the connection is open, immediately before the order is written; an order
 * under a fencing number other than the present one is never sent.
 */
internal class OrderSender(
    private val backend: BackendServerInterface,
    private val guard: LeaseGuard,
    private val orderTimeout: Duration,
) {
    suspend fun send(outstanding: OutstandingOrder): OrderOutcome {
        val order = outstanding.order
        val result =
            backend.order(outstanding.planned.domain, order) {
                guard.authorize(orderTimeout) == order.fencingToken
            }
        val outcome = result.fold({ outcomeOf(it) }, { OrderOutcome.ACCEPTED })
        val event =
            when (outcome) {
                OrderOutcome.ACCEPTED -> PlacementEvents.ORDER_ACCEPTED
                OrderOutcome.REJECTED -> PlacementEvents.ORDER_REJECTED
                OrderOutcome.UNKNOWN -> PlacementEvents.ORDER_UNKNOWN
                OrderOutcome.WITHHELD -> PlacementEvents.ORDER_WITHHELD
            }
        logger.info { event.line("$order in ${outstanding.planned.domain} ${result.leftOrNull() ?: ""}") }
        return outcome
    }

    private fun outcomeOf(error: PlatformError): OrderOutcome =
        when (error) {
            is PlatformError.Unavailable -> OrderOutcome.UNKNOWN
            is PlatformError.Refused -> OrderOutcome.WITHHELD
            is PlatformError.Rejected, is PlatformError.Conflict, PlatformError.HistoryExpired -> OrderOutcome.REJECTED
        }
}
