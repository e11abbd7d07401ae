package io.tarragonport.standin.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.ServerOrder
import kotlin.time.Duration

/** The backend server interface of the stand-in without HTTP, for tests that use virtual time. */
class InProcessBackendInterface(
    private val backend: BackendStandIn,
    private val link: InProcessLink,
) : BackendServerInterface {
    override suspend fun servers(domain: FailureDomainId): Either<PlatformError, List<InventoryServer>> =
        link.call { backend.servers(domain, Duration.ZERO).right() }

    override suspend fun order(
        domain: FailureDomainId,
        order: ServerOrder,
        permitted: () -> Boolean,
    ): Either<PlatformError, Unit> =
        link.call(permitted) {
            when (val status = backend.order(domain, order)) {
                BackendStandIn.ACCEPTED -> Unit.right()
                BackendStandIn.STALE -> PlatformError.Refused("stale").left()
                else -> PlatformError.Rejected(status, "").left()
            }
        }
}
