package io.tarragonport.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.ServerOrder
import java.util.concurrent.atomic.AtomicBoolean

/** HTTP client of the platform's backend server interface, which lists backend servers and accepts orders. */
class HttpBackendServerInterface(
    private val http: PlatformHttp,
) : BackendServerInterface {
    override suspend fun servers(domain: FailureDomainId): Either<PlatformError, List<InventoryServer>> =
        http
            .call(HttpMethod.GET, listOf("backend", domain.value, "servers"))
            .flatMap { it.read(ServersResponse.serializer()) }
            .map { it.servers }

    override suspend fun order(
        domain: FailureDomainId,
        order: ServerOrder,
        permitted: () -> Boolean,
    ): Either<PlatformError, Unit> {
        val withheld = AtomicBoolean(false)
        val body =
            WireJson.encodeToString(ServerOrder.serializer(), order)
        val response =
            http.call(HttpMethod.POST, listOf("backend", domain.value, "orders"), http.timeouts.order) {
                json(body)
                onlyIf { permitted().also { withheld.set(!it) } }
            }
        if (withheld.get()) {
            return PlatformError
                .Refused(
                    "order ${order.orderId} was not sent: the remaining lease validity is too short",
                ).left()
        }
        return response.flatMap {
            if (it.status == PlatformResponse.CONFLICT) PlatformError.Refused(it.body).left() else it.acknowledge()
        }
    }
}
