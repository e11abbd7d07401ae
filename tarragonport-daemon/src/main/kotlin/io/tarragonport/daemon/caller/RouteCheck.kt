package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.core.configuration.Configuration

/** Determines the class and the pool of a request from the configured routes. */
class RouteCheck(
    private val configuration: Configuration,
    private val kind: PoolKind,
) {
    /**
     * Admits a request for the model or service [name]. The class is [classHeader], else the key's default class, else
     * the class of the usable routes if they have only one.
     */
    fun admit(
        name: String,
        key: KeyRecord?,
        classHeader: String?,
    ): Either<RequestError, Admission> =
        either {
            val routes = routes(name)
            if (routes.isEmpty()) raise(unknownName())
            val usable = routes.filter { isOpenFor(it, key) }
            if (usable.isEmpty()) raise(if (key == null) RequestErrors.keyMissing else RequestErrors.notAllowed)
            val requestClass = requestClass(classHeader, key, usable).bind()
            val route = usable.firstOrNull { requestClass.id in it.classes }
            ensureNotNull(route) { RequestErrors.notAllowed }
            val organisation = configuration.organisation(billedOrganisation(route, key))
            ensureNotNull(organisation) { RequestErrors.notAllowed }
            val pool = configuration.pool(route.pool)
            ensureNotNull(pool) { unknownName() }
            Admission(organisation, key?.id, requestClass, pool)
        }

    /** Names of the models or services that a caller with [key] may request. */
    fun names(key: KeyRecord?): List<String> =
        configuration.document.routes
            .filter { isOpenFor(it, key) }
            .mapNotNull { configuration.pool(it.pool) }
            .filter { it.kind == kind }
            .map { it.name }
            .distinct()

    private fun routes(name: String): List<Route> =
        configuration.routes(name).filter { configuration.pool(it.pool)?.kind == kind }

    private fun unknownName(): RequestError =
        when (kind) {
            PoolKind.MODEL -> RequestErrors.notExecuted(ErrorKind.UNKNOWN_MODEL, "no such model", "model")
            PoolKind.SERVICE -> RequestErrors.notExecuted(ErrorKind.UNKNOWN_SERVICE, "no such service", "service")
        }

    private fun isOpenFor(
        route: Route,
        key: KeyRecord?,
    ): Boolean {
        if (key == null) return route.openToAll && route.openOrganisation != null
        return route.openToAll || route.organisations.isEmpty() || key.organisation in route.organisations
    }

    private fun billedOrganisation(
        route: Route,
        key: KeyRecord?,
    ): OrganisationId = key?.organisation ?: checkNotNull(route.openOrganisation)

    private fun requestClass(
        header: String?,
        key: KeyRecord?,
        usable: List<Route>,
    ): Either<RequestError, RequestClass> =
        either {
            val id =
                header?.let(::RequestClassId)
                    ?: key?.defaultClass
                    ?: usable.flatMap { it.classes }.distinct().singleOrNull()
            ensureNotNull(id) { unknownClass("a class is required") }
            val requestClass = configuration.requestClass(id)
            ensureNotNull(requestClass) { unknownClass("no such class") }
            requestClass
        }

    private fun unknownClass(message: String): RequestError =
        RequestErrors.notExecuted(ErrorKind.UNKNOWN_CLASS, message, CallerHeaders.REQUEST_CLASS)
}
