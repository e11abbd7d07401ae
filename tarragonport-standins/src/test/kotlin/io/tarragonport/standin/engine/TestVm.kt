package io.tarragonport.standin.engine

import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.core.retry.RetryBudget
import io.tarragonport.daemon.caller.CallerContext
import io.tarragonport.daemon.caller.CallerServer
import io.tarragonport.daemon.caller.Unlimited
import io.tarragonport.daemon.dispatch.CrashReporter
import io.tarragonport.daemon.dispatch.DecisionTraces
import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.dispatch.RequestExecutor
import io.tarragonport.daemon.dispatch.TracingDecisionLog
import io.tarragonport.daemon.dispatch.TrafficMetrics
import io.tarragonport.platform.backend.BackendTimeouts
import io.tarragonport.platform.backend.HttpBackendServerClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** The traffic path of one VM on loopback, with engine and service stand-ins as backend servers. */
class TestVm(
    engines: Int = 2,
    private val slots: Int = 4,
    tokensPerSecond: Double = 400.0,
    settings: ProcessSettings = SETTINGS,
    prefillTokensPerSecond: Double = 20_000.0,
    idleTimeout: kotlin.time.Duration = 400.milliseconds,
    crashReporter: CrashReporter = CrashReporter.None,
) : AutoCloseable {
    val engines =
        List(engines) {
            EngineStandIn(EngineSettings("engine-$it", slots, tokensPerSecond, prefillTokensPerSecond)).start()
        }
    val service = ServiceStandIn("ledger-0").start()
    val configurationSource = TestConfiguration(Configuration(document(), emptyMap()))
    val policy = FifoPolicy()
    val intents = InMemoryIntentRegistry()
    val usage = CountingUsageMeter()
    val traces = DecisionTraces()
    val client: BackendServerClient = HttpBackendServerClient(BackendTimeouts(idle = idleTimeout))
    private val log = TracingDecisionLog(traces)
    val dispatcher = Dispatcher(policy, log)
    private val metrics = TrafficMetrics(PrometheusRegistry())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val executor =
        RequestExecutor(
            dispatcher,
            RetryBudget(TimeSource.Monotonic),
            log,
            metrics,
            scope,
            crashReporter,
        )
    val server =
        CallerServer(
            CallerContext(
                settings,
                configurationSource,
                executor,
                client,
                intents,
                usage,
                Unlimited,
                traces,
                metrics,
                TimeSource.Monotonic,
                scope,
            ),
        )
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    init {
        announceServers()
        server.start()
        scope.launch {
            while (true) {
                delay(TICK_MS)
                dispatcher.tick()
            }
        }
    }

    /** Announces all servers to the dispatcher; the engines with an index in [leaving] are about to be removed. */
    fun announceServers(leaving: Set<Int> = emptySet()) {
        val statuses =
            engines.mapIndexed { number, engine ->
                val status = status(engine.id, engine.address, "chat-pool", slots)
                status.copy(leaving = number in leaving, leaveAnnounced = number in leaving)
            } + status("ledger-0", service.address, "ledger-pool", slots)
        dispatcher.serversChanged(statuses, listOf(VmId("vm-1")))
    }

    private fun status(
        id: String,
        address: String,
        pool: String,
        slots: Int,
    ) = ServerStatus(BackendServerId(id), address, PoolId(pool), FailureDomainId("a"), cheap = false, slots)

    /** Marks the key [id] as withdrawn in a newer configuration. */
    fun withdrawKey(id: String) {
        val document = configurationSource.current.value!!.document
        val keys = document.keys.map { if (it.id.value == id) it.copy(withdrawn = true) else it }
        configurationSource.current.value = Configuration(document.copy(keys = keys), emptyMap())
    }

    fun request(
        path: String,
        vararg headers: Pair<String, String>,
    ): HttpRequest.Builder {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${server.port}$path")).timeout(TIMEOUT)
        headers.forEach { (name, value) -> request.header(name, value) }
        return request
    }

    fun send(request: HttpRequest.Builder): HttpResponse<String> =
        http.send(request.build(), HttpResponse.BodyHandlers.ofString())

    /** Sends a chat request with [body] and the API key [key]. */
    fun chat(
        body: String,
        key: String? = KEY,
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> {
        val request = request("/v1/chat/completions", *headers).POST(HttpRequest.BodyPublishers.ofString(body))
        if (key != null) request.header("Authorization", "Bearer $key")
        return send(request)
    }

    fun post(
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> =
        send(
            request(path, "Authorization" to "Bearer $KEY", *headers)
                .POST(HttpRequest.BodyPublishers.ofString(body)),
        )

    fun get(
        path: String,
        key: String? = KEY,
    ): HttpResponse<String> =
        send(request(path).GET().apply { if (key != null) header("Authorization", "Bearer $key") })

    /** Opens a separate connection and writes [text] to it. */
    fun socket(text: String): Socket =
        Socket("127.0.0.1", server.port).apply {
            soTimeout = TIMEOUT.toMillis().toInt()
            getOutputStream().write(text.toByteArray())
            getOutputStream().flush()
        }

    override fun close() {
        server.stop(graceMs = 0)
        engines.forEach { it.stop() }
        service.stop()
        scope.cancel()
        (client as AutoCloseable).close()
    }

    companion object {
        const val KEY = "key-of-huerta"
        const val OTHER_KEY = "key-of-molino"
        private const val TICK_MS = 5L
        private val TIMEOUT: Duration = Duration.ofSeconds(20)

        val SETTINGS =
            ProcessSettings(
                VmId("vm-1"),
                RegionId("lima"),
                FailureDomainId("a"),
                callerAddress = "127.0.0.1:0",
                peerAddress = "127.0.0.1:0",
                platformUrl = "",
                drainAcceptMs = 100,
                bodyLimitBytes = 20_000,
                bodyTimeoutMs = 300,
            )

        private fun key(
            id: String,
            text: String,
            organisation: String,
            defaultClass: String? = "quick-chat",
        ) = KeyRecord(
            KeyId(id),
            KeyDigest.of(text),
            OrganisationId(organisation),
            defaultClass?.let(::RequestClassId),
        )

        fun document(): ConfigurationDocument =
            ConfigurationDocument(
                organisations = listOf("huerta", "molino", "public").map { Organisation(OrganisationId(it)) },
                keys =
                    listOf(
                        key("key-1", KEY, "huerta"),
                        key("key-2", OTHER_KEY, "molino"),
                        key("key-3", "old-key", "huerta").copy(withdrawn = true),
                    ),
                classes =
                    listOf(
                        RequestClass(RequestClassId("quick-chat"), Tier(1), deadlineMs = 20_000),
                        RequestClass(RequestClassId("note"), Tier(3), deadlineMs = 20_000, resumable = false),
                        RequestClass(RequestClassId("lookup"), Tier(2), deadlineMs = 20_000),
                        RequestClass(RequestClassId("deposit"), Tier(1), deadlineMs = 20_000, repeatable = false),
                        RequestClass(RequestClassId("gate"), Tier(1), deadlineMs = 20_000, repeatable = false),
                    ),
                pools =
                    listOf(
                        Pool(PoolId("chat-pool"), PoolKind.MODEL, "chimney"),
                        Pool(PoolId("ledger-pool"), PoolKind.SERVICE, "ledger"),
                    ),
                routes =
                    listOf(
                        Route(
                            "chats",
                            listOf("quick-chat", "note", "gate").map(::RequestClassId),
                            PoolId("chat-pool"),
                            listOf(OrganisationId("huerta")),
                        ),
                        Route("ledger", listOf("deposit", "lookup").map(::RequestClassId), PoolId("ledger-pool")),
                    ),
            )

        /** A chat request body whose response has [tokens] tokens. */
        fun body(
            prompt: String,
            tokens: Int = 20,
            stream: Boolean = false,
        ): String =
            """{"model":"chimney","stream":$stream,"messages":[{"role":"user","content":"$prompt [tokens=$tokens]"}]}"""

        /** The generated text for the request of [body]. */
        fun expectedText(
            prompt: String,
            tokens: Int = 20,
        ): String = ExpectedCompletion.text("chimney", listOf(EngineMessage("user", "$prompt [tokens=$tokens]")))
    }
}
