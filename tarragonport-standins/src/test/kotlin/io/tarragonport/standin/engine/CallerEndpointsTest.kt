package io.tarragonport.standin.engine

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.core.configuration.Configuration
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** The caller endpoints over HTTP, end to end with engine and service stand-ins. */
class CallerEndpointsTest {
    private val vm = TestVm()

    @AfterEach
    fun close() = vm.close()

    /** Guards against responses that differ from the output of the engine. */
    @Test
    fun `buffered and streamed responses arrive complete`() {
        val buffered = vm.chat(TestVm.body("one"))
        assertEquals(200, buffered.statusCode(), buffered.body())
        assertTrue(buffered.body().contains(TestVm.expectedText("one")), buffered.body())
        val streamed = vm.chat(TestVm.body("two", stream = true))
        assertEquals(TestVm.expectedText("two"), SseText.text(streamed.body()))
        assertTrue(SseText.isDone(streamed.body()))
        assertEquals("engine-0", streamed.headers().firstValue("X-Backend-Server").get())
        assertEquals(CountingUsageMeter.Sum(4, 40, 2), vm.usage.of("huerta"))
    }

    /** Guards against use of a model by organisations that its routes do not permit, and against unspecific errors. */
    @Test
    fun `invalid and forbidden requests are rejected as not executed`() {
        val bodyWithInvalidMessages = """{"model":"chimney","messages":"x"}"""

        data class Case(
            val status: Int,
            val kind: String,
            val field: String?,
            val body: String = TestVm.body("no"),
            val key: String? = TestVm.KEY,
            val headers: List<Pair<String, String>> = emptyList(),
        )
        val cases =
            listOf(
                Case(401, "key_missing", "Authorization", key = null),
                Case(401, "key_unknown", "Authorization", key = "guess"),
                Case(401, "key_withdrawn", "Authorization", key = "old-key"),
                Case(403, "not_allowed", null, key = TestVm.OTHER_KEY),
                Case(400, "invalid_request", "Authorization", headers = listOf("Authorization" to "Bearer second")),
                Case(401, "key_missing", "Authorization", key = null, headers = listOf("X-Api-Key" to TestVm.KEY)),
                Case(400, "unknown_class", "X-Request-Class", headers = listOf("X-Request-Class" to "none")),
                Case(403, "not_allowed", null, headers = listOf("X-Request-Class" to "lookup")),
                Case(404, "unknown_model", "model", body = """{"model":"x","messages":[{"role":"a","content":"b"}]}"""),
                Case(400, "invalid_request", "messages", body = bodyWithInvalidMessages),
                Case(400, "invalid_request", "body", body = "{"),
                Case(400, "invalid_request", "body", body = TestVm.body("my key is ${TestVm.KEY}")),
                Case(413, "body_too_large", "body", body = TestVm.body("x".repeat(30_000))),
                Case(400, "idempotency_key_missing", "Idempotency-Key", headers = listOf("X-Request-Class" to "gate")),
                Case(400, "invalid_request", "X-Deadline-Ms", headers = listOf("X-Deadline-Ms" to "soon")),
            )
        for (case in cases) {
            val response = vm.chat(case.body, case.key, *case.headers.toTypedArray())
            assertEquals(case.status, response.statusCode(), "$case ${response.body()}")
            assertTrue(response.body().contains(""""kind":"${case.kind}""""), "$case ${response.body()}")
            assertTrue(response.body().contains(""""ran":"no""""), "$case ${response.body()}")
            assertEquals(
                case.field != null,
                response.body().contains(""""field":"${case.field}""""),
                "$case ${response.body()}",
            )
        }
        assertTrue(vm.engines.all { it.received().requests.isEmpty() })
    }

    /** Guards against an open route that also opens others, and against requests without a key that are not billed. */
    @Test
    fun `only open routes serve callers without a key, and all usage is billed`() {
        val document = TestVm.document()
        val open =
            document.routes.map {
                it.copy(
                    openToAll = it.id == "chats",
                    openOrganisation = OrganisationId("public"),
                )
            }
        vm.configurationSource.current.value = Configuration(document.copy(routes = open), emptyMap())
        val cases =
            listOf(
                Triple(null, "quick-chat", 200),
                Triple(TestVm.OTHER_KEY, "quick-chat", 200),
                Triple("guess", "quick-chat", 401),
                Triple("old-key", "quick-chat", 401),
                Triple(null, "lookup", 403),
            )
        for ((key, requestClass, status) in cases) {
            val response = vm.chat(TestVm.body("open"), key, "X-Request-Class" to requestClass)
            assertEquals(status, response.statusCode(), "$key $requestClass ${response.body()}")
        }
        assertEquals(1, vm.usage.of("public").requests)
        assertEquals(1, vm.usage.of("molino").requests)
        val service = vm.request("/v1/services/ledger/prices", "X-Request-Class" to "lookup").GET()
        assertEquals(401, vm.send(service).statusCode(), "a closed route beside the open one")
        assertTrue(
            vm.service
                .received()
                .executed
                .isEmpty(),
        )
    }

    /** Guards against a second execution of a deposit, and against forwarding credentials or cookies to a service. */
    @Test
    fun `a deposit is executed once and its response is replayed`() {
        val headers = arrayOf("X-Request-Class" to "deposit", "Idempotency-Key" to "d1", "Cookie" to "c=1")
        val first = vm.post("/v1/services/ledger/deposits?x=1", "amount=5", *headers)
        val second = vm.post("/v1/services/ledger/deposits?x=1", "amount=5", *headers)
        val other = vm.post("/v1/services/ledger/deposits?x=1", "amount=6", *headers)
        assertEquals(listOf(200, 200, 422), listOf(first, second, other).map { it.statusCode() })
        assertEquals(first.body(), second.body())
        val executed =
            vm.service
                .received()
                .executed
                .single()
        assertEquals(
            listOf("/deposits", "x=1", "d1", "amount=5"),
            executed.run { listOf(path, query, idempotencyKey, body) },
        )
        val names = executed.headers.map { it.name.lowercase() }
        assertFalse("authorization" in names || "cookie" in names, names.toString())
    }

    /** Guards against broken probes, model list or metrics page. */
    @Test
    fun `probes, model list and metrics respond`() {
        vm.chat(TestVm.body("count me"))
        assertEquals(listOf(200, 200), listOf("/healthz", "/readyz").map { vm.get(it, null).statusCode() })
        assertTrue(vm.get("/v1/models").body().contains(""""id":"chimney""""))
        val metrics = vm.get("/metrics", null).body()
        assertTrue(
            metrics.contains("""tarragonport_requests_total{class="quick-chat",outcome="completed"} 1"""),
            metrics,
        )
        assertEquals(404, vm.get("/v1/other").statusCode())
        vm.configurationSource.current.value = null
        assertEquals(503, vm.get("/readyz", null).statusCode())
        assertTrue(vm.chat(TestVm.body("x")).body().contains("not_configured"))
    }
}
