package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.Route

/**
 * Rejects routes by which non-repeatable requests could reach reclaimable servers, and open routes without an
 * organisation to bill.
 */
object SafeRoutes : ValidationRule {
    override fun check(document: ConfigurationDocument): List<Problem> {
        val collector = ProblemCollector("routes")
        document.routes.forEachIndexed { index, route -> checkRoute(collector, document, index, route) }
        return collector.problems()
    }

    private fun checkRoute(
        collector: ProblemCollector,
        document: ConfigurationDocument,
        index: Int,
        route: Route,
    ) {
        collector.require(route.classes.isNotEmpty(), index, "classes") { "a route needs at least one class" }
        collector.require(!route.openToAll || route.openOrganisation != null, index, "open_organisation") {
            "a route that is open to all needs the organisation that is billed"
        }
        collector.require(route.openToAll || route.openOrganisation == null, index, "open_organisation") {
            "open_organisation is only for routes that are open to all"
        }
        val pool = document.pools.find { it.id == route.pool } ?: return
        val nonRepeatable = document.classes.filter { !it.repeatable }.map { it.id }
        val unsafe = route.classes.filter { it in nonRepeatable }
        collector.require(!pool.cheapAllowed || unsafe.isEmpty(), index, "pool") {
            "class \"${unsafe.first()}\" may not be repeated, but pool \"${pool.id}\" allows cheap backend servers"
        }
    }
}
