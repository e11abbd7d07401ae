package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestClassId

/**
 * The active configuration of a VM: an immutable snapshot with indexes for the lookups of each request.
 *
 * [versions] has the active version of each section.
 */
class Configuration(
    val document: ConfigurationDocument,
    val versions: Map<SectionName, ObjectVersion>,
) {
    private val organisations: Map<OrganisationId, Organisation> = document.organisations.associateBy { it.id }
    private val classes: Map<RequestClassId, RequestClass> = document.classes.associateBy { it.id }
    private val pools: Map<PoolId, Pool> = document.pools.associateBy { it.id }
    private val keys: Map<KeyDigest, KeyRecord> = document.keys.associateBy { it.digest }
    private val keysById: Map<KeyId, KeyRecord> = document.keys.associateBy { it.id }
    private val limits: Map<OrganisationId, List<Limit>> = document.limits.groupBy { it.organisation }
    private val routesByName: Map<String, List<Route>> =
        document.routes
            .filter { it.pool in pools }
            .groupBy { pools.getValue(it.pool).name }

    fun organisation(id: OrganisationId): Organisation? = organisations[id]

    fun requestClass(id: RequestClassId): RequestClass? = classes[id]

    fun pool(id: PoolId): Pool? = pools[id]

    /** The key with [digest], including withdrawn keys. */
    fun key(digest: KeyDigest): KeyRecord? = keys[digest]

    /** The key with [id], including withdrawn keys. */
    fun key(id: KeyId): KeyRecord? = keysById[id]

    /** Limits of [organisation] and of its keys. */
    fun limits(organisation: OrganisationId): List<Limit> = limits[organisation].orEmpty()

    /** Routes to pools whose model or service has the name [name]. */
    fun routes(name: String): List<Route> = routesByName[name].orEmpty()
}
