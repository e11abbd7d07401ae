package io.tarragonport.core.gateway.route

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.gateway.OrganisationAccess
import io.tarragonport.api.gateway.WeightedService
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.core.gateway.Samples
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** A request on a wrong route, under a wrong key or as a wrong organisation would be served to whom it is not for. */
class ActiveConfigurationTest {
    private val routes =
        listOf(
            Samples.route("/"),
            Samples.route("/a/"),
            Samples.route("/a/b/"),
            Samples.route("/open/", openToAll = true),
            Samples.route("/a/", host = "b.example"),
        )
    private val organisations =
        listOf(
            OrganisationAccess(OrganisationId("one"), listOf("key-1", "key-2"), priority = 0),
            OrganisationAccess(OrganisationId("two"), listOf("key-3"), priority = null),
        )
    private val configuration = ActiveConfiguration(Samples.configuration(routes, organisations))

    @Test
    fun `the longest prefix of the host's routes serves a request`() {
        data class Case(
            val host: String,
            val path: String,
            val route: String?,
        )
        listOf(
            Case("a.example", "/a/b/c", "a.example/a/b/"),
            Case("a.example", "/a/b", "a.example/a/"),
            Case("A.Example:8080", "/a/x", "a.example/a/"),
            Case("a.example", "/ab/x", "a.example/"),
            Case("a.example", "/", "a.example/"),
            Case("b.example", "/a/", "b.example/a/"),
            Case("b.example", "/b/", null),
            Case("c.example", "/a/", null),
        ).forEach { case ->
            val decision = configuration.decide(case.host, case.path, "key-3")
            val route = (decision as? RouteDecision.Serve)?.route?.name
            assertEquals(case.route, route, "$case")
        }
    }

    @Test
    fun `a key decides the organisation and its priority`() {
        data class Case(
            val path: String,
            val key: String?,
            val organisation: String?,
            val priority: Int?,
            val refused: ErrorKind?,
        )
        listOf(
            Case("/a/", "key-2", "one", 0, null),
            Case("/a/", "key-3", "two", 1, null),
            Case("/open/", null, null, 1, null),
            Case("/open/", "unknown", null, 1, null),
            Case("/a/", null, null, null, ErrorKind.KEY_MISSING),
            Case("/a/", "unknown", null, null, ErrorKind.KEY_UNKNOWN),
            Case("/a/", "key-2 ", null, null, ErrorKind.KEY_UNKNOWN),
        ).forEach { case ->
            val decision = configuration.decide("a.example", case.path, case.key)
            if (case.refused != null) {
                assertEquals(case.refused, assertIs<RouteDecision.Refuse>(decision, "$case").kind, "$case")
            } else {
                val served = assertIs<RouteDecision.Serve>(decision, "$case")
                assertEquals(case.organisation, served.organisation?.value, "$case")
                assertEquals(case.priority, served.priority, "$case")
            }
        }
    }

    @Test
    fun `without organisations no request needs a key`() {
        val open = ActiveConfiguration(Samples.configuration(routes))
        assertIs<RouteDecision.Serve>(open.decide("a.example", "/a/", null))
    }

    @Test
    fun `requests are divided among services by weight and equal requests alike`() {
        val weighted = listOf(WeightedService(ServiceId("x"), 90), WeightedService(ServiceId("y"), 10))
        val route = Samples.route("/", services = weighted)
        val chosen = (1..2_000).map { WeightedServiceChoice.of(route, RequestId("request-$it")) }
        val share = chosen.count { it == ServiceId("y") } / 2_000.0
        assertEquals(0.1, share, 0.03)
        assertEquals(chosen.first(), WeightedServiceChoice.of(route, RequestId("request-1")))
        assertEquals(null, WeightedServiceChoice.of(Samples.route("/", services = emptyList()), RequestId("r")))
    }
}
