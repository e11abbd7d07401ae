package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.configuration.Route

/**
 * References between the sections of [document].
 *
 * Keys refer to organisations and classes, routes to classes, pools and organisations, limits to organisations and
 * keys.
 */
internal class SectionReferences(
    document: ConfigurationDocument,
) {
    private val organisations = document.organisations.mapTo(HashSet()) { it.id }
    private val classes = document.classes.mapTo(HashSet()) { it.id }
    private val pools = document.pools.mapTo(HashSet()) { it.id }
    private val keys = document.keys.mapTo(HashSet()) { it.id }

    /** The first dangling reference in [content], null if there is none. */
    fun firstDangling(content: SectionContent): String? =
        when (content) {
            is SectionContent.Keys -> content.entries.firstNotNullOfOrNull(::dangling)
            is SectionContent.Routes -> content.entries.firstNotNullOfOrNull(::dangling)
            is SectionContent.Limits -> content.entries.firstNotNullOfOrNull(::dangling)
            is SectionContent.Organisations, is SectionContent.Classes, is SectionContent.Pools -> null
        }

    fun dangling(key: KeyRecord): String? =
        "organisation ${key.organisation}".takeIf { key.organisation !in organisations }

    fun dangling(route: Route): String? {
        val requestClass = route.classes.find { it !in classes }
        val organisation = (route.organisations + listOfNotNull(route.openOrganisation)).find { it !in organisations }
        return when {
            route.pool !in pools -> "pool ${route.pool}"
            requestClass != null -> "class $requestClass"
            organisation != null -> "organisation $organisation"
            else -> null
        }
    }

    fun dangling(limit: Limit): String? =
        when {
            limit.organisation !in organisations -> "organisation ${limit.organisation}"
            limit.key != null && limit.key !in keys -> "key ${limit.key}"
            else -> null
        }

    /** [document] without the entries that have dangling references; unknown default classes of keys become null. */
    fun effective(document: ConfigurationDocument): ConfigurationDocument =
        document.copy(
            keys = document.keys.filter { dangling(it) == null }.map(::withKnownClass),
            routes = document.routes.filter { dangling(it) == null },
            limits = document.limits.filter { dangling(it) == null },
        )

    private fun withKnownClass(key: KeyRecord): KeyRecord =
        if (key.defaultClass == null || key.defaultClass in classes) key else key.copy(defaultClass = null)
}
