package io.tarragonport.core.gateway

import io.tarragonport.api.gateway.CallerLimits
import io.tarragonport.api.gateway.EngineLimits
import io.tarragonport.api.gateway.GatewayConfiguration
import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.gateway.OrganisationAccess
import io.tarragonport.api.gateway.PromptPart
import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.gateway.Repeatability
import io.tarragonport.api.gateway.WeightedService
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Values of the gateway's types for tests. */
internal object Samples {
    val ENGINES = ServiceId("engines")

    fun route(
        prefix: String,
        host: String = "a.example",
        repeatability: Repeatability = Repeatability.IDEMPOTENT,
        openToAll: Boolean = false,
        maximumAttempts: Int = 2,
        services: List<WeightedService> = listOf(WeightedService(ENGINES, 1)),
    ) = GatewayRoute(
        name = "$host$prefix",
        host = host,
        pathPrefix = prefix,
        repeatability = repeatability,
        services = services,
        timeout = 4.seconds,
        latencyObjective = 300.milliseconds,
        maximumEventGap = null,
        priority = 1,
        maximumAttempts = maximumAttempts,
        openToAll = openToAll,
        promptCacheAffinity = false,
    )

    fun configuration(
        routes: List<GatewayRoute>,
        organisations: List<OrganisationAccess> = emptyList(),
    ) = GatewayConfiguration(
        version = ConfigurationVersion(7),
        routes = routes,
        services = listOf(engineService()),
        limits = CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds),
        organisations = organisations,
    )

    fun engineService() =
        GatewayService(ENGINES, "/health", maximumConnections = 360, engine = EngineLimits(64, 700_000))

    fun server(
        id: String,
        domain: String = "a",
        leaving: Boolean = false,
        startedAtMs: Long = 1,
        service: ServiceId = ENGINES,
    ) = RegisteredServer(
        id = BackendServerId(id),
        service = service,
        address = "10.0.0.1:80",
        domain = FailureDomainId(domain),
        slots = 64,
        leaving = leaving,
        cheap = false,
        leavesIn = null,
        startedAtMs = startedAtMs,
    )

    fun prompt(
        shared: Int,
        own: Int,
        id: String = "shared",
    ) = PromptShape("m", shared + own, 100, listOf(PromptPart(id, shared), PromptPart("own", own)))
}
