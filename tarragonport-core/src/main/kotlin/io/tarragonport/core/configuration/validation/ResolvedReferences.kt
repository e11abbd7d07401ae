package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.id.OrganisationId

/** Rejects references to organisations, keys, classes and pools that do not exist. */
object ResolvedReferences : ValidationRule {
    override fun check(document: ConfigurationDocument): List<Problem> =
        keyReferences(document) + routeReferences(document) + limitReferences(document)

    private fun keyReferences(document: ConfigurationDocument): List<Problem> {
        val organisations = document.organisations.map { it.id }.toSet()
        val classes = document.classes.map { it.id }.toSet()
        val collector = ProblemCollector("keys")
        document.keys.forEachIndexed { index, key ->
            collector.require(key.organisation in organisations, index, "organisation") {
                unknownOrganisation(key.organisation)
            }
            val defaultClass = key.defaultClass
            collector.require(defaultClass == null || defaultClass in classes, index, "default_class") {
                "class \"$defaultClass\" does not exist"
            }
        }
        return collector.problems()
    }

    private fun routeReferences(document: ConfigurationDocument): List<Problem> {
        val organisations = document.organisations.map { it.id }.toSet()
        val classes = document.classes.map { it.id }.toSet()
        val pools = document.pools.map { it.id }.toSet()
        val collector = ProblemCollector("routes")
        document.routes.forEachIndexed { index, route ->
            collector.require(route.pool in pools, index, "pool") { "pool \"${route.pool}\" does not exist" }
            route.classes.forEachIndexed { position, id ->
                collector.require(id in classes, index, "classes/$position") { "class \"$id\" does not exist" }
            }
            route.organisations.forEachIndexed { position, id ->
                collector.require(id in organisations, index, "organisations/$position") { unknownOrganisation(id) }
            }
            val open = route.openOrganisation
            collector.require(open == null || open in organisations, index, "open_organisation") {
                "organisation \"$open\" does not exist"
            }
        }
        return collector.problems()
    }

    private fun limitReferences(document: ConfigurationDocument): List<Problem> {
        val organisations = document.organisations.map { it.id }.toSet()
        val keys = document.keys.associateBy { it.id }
        val collector = ProblemCollector("limits")
        document.limits.forEachIndexed { index, limit ->
            collector.require(limit.organisation in organisations, index, "organisation") {
                unknownOrganisation(limit.organisation)
            }
            val key = limit.key
            collector.require(key == null || keys[key]?.organisation == limit.organisation, index, "key") {
                "key \"$key\" is not a key of organisation \"${limit.organisation}\""
            }
        }
        return collector.problems()
    }

    private fun unknownOrganisation(id: OrganisationId) = "organisation \"$id\" does not exist"
}
