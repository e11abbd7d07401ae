package io.tarragonport.tool.fault

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import io.tarragonport.api.configuration.StaticServer
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestClassId

/**
 * The configuration of the fault run: routes for chats, reviews, batches on reclaimable servers, and deposits, which
 * must not be repeated.
 */
internal object FaultRunConfiguration {
    const val MODEL = "quoting"
    const val ELASTIC_MODEL = "elastic"
    const val SERVICE = "ledger"
    val DOMAINS = listOf("lima-a", "lima-b", "lima-c")
    val ORGANISATIONS = List(ORGANISATION_COUNT) { "organisation-$it" }
    private const val ORGANISATION_COUNT = 4

    fun of(
        engines: List<EngineSlot>,
        ledgerAddress: String,
        keys: Map<String, String>,
    ) = ConfigurationDocument(
        organisations = ORGANISATIONS.map { Organisation(OrganisationId(it)) },
        keys = keys.map { (organisation, key) -> record("key-$organisation", key, organisation) },
        classes = classes(),
        pools = pools(engines, ledgerAddress),
        routes = routes(),
    )

    fun record(
        id: String,
        key: String,
        organisation: String,
        withdrawn: Boolean = false,
    ) = KeyRecord(
        KeyId(id),
        KeyDigest.of(key),
        OrganisationId(organisation),
        RequestClassId("quick-chat"),
        withdrawn,
    )

    private fun classes() =
        listOf(
            RequestClass(RequestClassId("quick-chat"), Tier(1), firstTokenMs = 5_000, deadlineMs = 90_000),
            RequestClass(RequestClassId("batch"), Tier(3), deadlineMs = 90_000),
            RequestClass(RequestClassId("drawing-review"), Tier(4), deadlineMs = 300_000, longOutput = true),
            RequestClass(
                RequestClassId("deposit"),
                Tier(1),
                deadlineMs = 15_000,
                repeatable = false,
                resumable = false,
            ),
        )

    private fun pools(
        engines: List<EngineSlot>,
        ledgerAddress: String,
    ) = listOf(
        Pool(
            id = PoolId(MODEL),
            kind = PoolKind.MODEL,
            name = MODEL,
            servers =
                engines.mapIndexed { index, engine ->
                    val domain = FailureDomainId(DOMAINS[index % DOMAINS.size])
                    StaticServer(BackendServerId(engine.id), engine.address, domain)
                },
        ),
        Pool(
            id = PoolId(ELASTIC_MODEL),
            kind = PoolKind.MODEL,
            name = ELASTIC_MODEL,
            failureDomains = DOMAINS.map(::FailureDomainId),
            minimumServers = 2,
            maximumServers = 3,
            cheapAllowed = true,
        ),
        Pool(
            id = PoolId(SERVICE),
            kind = PoolKind.SERVICE,
            name = SERVICE,
            servers =
                listOf(StaticServer(BackendServerId("ledger-1"), ledgerAddress, FailureDomainId(DOMAINS.first()))),
            slots = 32,
        ),
    )

    private fun routes() =
        listOf(
            route("chats", listOf("quick-chat", "drawing-review"), MODEL),
            route("batches", listOf("batch"), ELASTIC_MODEL),
            route("deposits", listOf("deposit"), SERVICE),
        )

    private fun route(
        id: String,
        classes: List<String>,
        pool: String,
    ) = Route(id, classes.map(::RequestClassId), PoolId(pool))
}
