package io.tarragonport.api.platform

import arrow.core.Either
import io.tarragonport.api.id.FailureDomainId

/** The platform's backend server interface, which is organised by failure domain. */
interface BackendServerInterface {
    /** Lists the servers in [domain]; the list can be out of date. */
    suspend fun servers(domain: FailureDomainId): Either<PlatformError, List<InventoryServer>>

    /**
     * Sends an order; [PlatformError.Refused] for a stale fencing token, [PlatformError.Rejected] if no server is
     * available.
     *
     * [permitted] is called when the connection is open, immediately before the order is written. If it returns false,
     * nothing that the platform could act on is sent and the result is [PlatformError.Refused].
     */
    suspend fun order(
        domain: FailureDomainId,
        order: ServerOrder,
        permitted: () -> Boolean = { true },
    ): Either<PlatformError, Unit>
}
