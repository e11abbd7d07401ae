package io.tarragonport.daemon.dispatch

import arrow.core.right
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.StaticServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.admission.TieredDispatch
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.apache.commons.math3.random.Well19937c
import java.lang.reflect.Proxy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests to a started model engine that has not loaded its model yet. */
class ServerFeedTest {
    private val domain = FailureDomainId("d")
    private var models: List<String>? = emptyList()
    private val client =
        Proxy.newProxyInstance(
            javaClass.classLoader,
            arrayOf(BackendServerClient::class.java),
        ) { _, method, arguments ->
            val listed = arguments[0] == "a-listed"
            if (method.name == "load") {
                LoadReport(BackendServerId("e"), 0, 0, 0, models = models.takeUnless { listed }).right()
            } else {
                emptyList<CacheEvent>().right()
            }
        } as BackendServerClient

    private val listed = StaticServer(BackendServerId("listed"), "a-listed", domain)
    private val pools =
        listOf(
            Pool(PoolId("p"), PoolKind.MODEL, "chimney", listOf(listed)),
            Pool(PoolId("q"), PoolKind.SERVICE, "ledger"),
        )
    private val configuration =
        object : ConfigurationSource {
            private val document = ConfigurationDocument(pools = pools)
            override val current = MutableStateFlow<Configuration?>(Configuration(document, emptyMap()))
            override val isolated = MutableStateFlow(false)
        }
    private val fleet =
        object : MembershipView {
            override val liveVms = MutableStateFlow(emptyList<LiveVm>())
        }

    private fun status(
        id: String,
        pool: String,
    ) = ServerStatus(BackendServerId(id), "a-$id", PoolId(pool), domain, cheap = false, slots = 1)

    @Test
    fun `a started model engine is used once its load report lists its model`() =
        runTest {
            val servers = listOf(status("listed", "p"), status("started", "p"), status("service", "q"))
            val policy = TieredDispatch(VmId("vm-1"), testTimeSource, Well19937c(1))
            val dispatcher = Dispatcher(policy, TracingDecisionLog(DecisionTraces()), testTimeSource)
            val poller = LoadPoller(client, dispatcher)
            val feed =
                ServerFeed(
                    dispatcher,
                    poller,
                    configuration,
                    MutableStateFlow(servers),
                    fleet,
                    VmId("vm-1"),
                    RegionId("r"),
                )
            backgroundScope.launch { feed.run() }

            fun usable() = dispatcher.currentServers.filter { !it.leaving }.map { it.id.value }
            for ((reported, expected) in listOf(
                emptyList<String>() to listOf("listed", "service"),
                listOf("other") to listOf("listed", "service"),
                listOf("chimney") to listOf("listed", "started", "service"),
                emptyList<String>() to listOf("listed", "service"),
                null to listOf("listed", "started", "service"),
            )) {
                models = reported
                delay(1.seconds + 1.milliseconds)
                assertEquals(expected, usable(), "models $reported")
            }
        }
}
