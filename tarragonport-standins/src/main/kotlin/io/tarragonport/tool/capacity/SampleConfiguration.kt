package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestClassId

/**
 * Generates configurations with [MODELS] models and [TIERS] tiers, and with [KEYS_PER_ORGANISATION] keys and two limits
 * for each organisation.
 */
object SampleConfiguration {
    const val KEYS_PER_ORGANISATION = 20
    private const val MODELS = 18
    private const val TIERS = 4

    fun of(organisationCount: Int): ConfigurationDocument {
        val organisations = List(organisationCount) { Organisation(OrganisationId("organisation-$it"), "Name $it", 2) }
        val classes = List(TIERS) { RequestClass(RequestClassId("class-$it"), Tier(it + 1), deadlineMs = 60_000) }
        val pools = List(MODELS) { Pool(PoolId("model-$it"), PoolKind.MODEL, "model-$it") }
        return ConfigurationDocument(
            organisations = organisations,
            keys = organisations.flatMap { keys(it.id, classes.first().id) },
            classes = classes,
            pools = pools,
            routes = pools.map { Route("route-${it.id}", classes.map { c -> c.id }, it.id) },
            limits = organisations.flatMap { limits(it.id) },
        )
    }

    private fun keys(
        organisation: OrganisationId,
        requestClass: RequestClassId,
    ) = List(KEYS_PER_ORGANISATION) {
        KeyRecord(KeyId("$organisation-key-$it"), KeyDigest.of("$organisation/$it"), organisation, requestClass)
    }

    private fun limits(organisation: OrganisationId) =
        listOf(
            Limit(organisation, requestsPerMinute = 6_000, tokensPerMinute = 2_000_000),
            Limit(organisation, KeyId("$organisation-key-0"), requestsPerMinute = 600),
        )
}
