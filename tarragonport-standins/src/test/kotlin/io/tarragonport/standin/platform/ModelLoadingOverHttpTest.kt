package io.tarragonport.standin.platform

import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.ModelOrder
import io.tarragonport.api.backend.ModelOrderKind
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrderId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.daemon.lease.LeaseGuard
import io.tarragonport.daemon.placement.InventoryView
import io.tarragonport.daemon.placement.WeightLoop
import io.tarragonport.platform.HttpWeightStore
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.platform.backend.HttpBackendServerClient
import io.tarragonport.standin.engine.EngineFaults
import io.tarragonport.standin.engine.EngineSettings
import io.tarragonport.standin.engine.EngineStandIn
import io.tarragonport.standin.engine.TestConfiguration
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Model loading from the weight store to engines over HTTP; one engine does not check fencing tokens. */
@Timeout(60)
class ModelLoadingOverHttpTest {
    private val standIn = PlatformStandIn(InventoryFile(transfersPerMinute = 60))
    private val http = PlatformHttp("http://127.0.0.1:${standIn.start()}")
    private val client = HttpBackendServerClient()
    private val engines =
        List(2) { EngineStandIn(EngineSettings("engine-$it", models = emptyList(), loadMs = 100)).start() }
    private val guard =
        object : LeaseGuard {
            var fencingToken: FencingToken? = FencingToken(7)
            override val heldToken = MutableStateFlow(fencingToken)

            override fun heldFor(): Duration = Duration.INFINITE

            override fun authorize(longestCall: Duration): FencingToken? = fencingToken
        }

    @AfterEach
    fun stop() {
        client.close()
        http.close()
        engines.forEach { it.close() }
        standIn.close()
    }

    private fun loop(): WeightLoop {
        val listed =
            engines.map { InventoryServer(BackendServerId(it.id), it.address, PoolId("p"), FailureDomainId("a")) }
        val pools = listOf(Pool(PoolId("p"), PoolKind.MODEL, "chimney"))
        return WeightLoop(
            vm = VmId("vm-1"),
            region = RegionId("r"),
            weights = HttpWeightStore(http),
            serverClient = client,
            inventory =
                object : InventoryView {
                    override val servers = MutableStateFlow(listed)
                },
            guard = guard,
            configuration = TestConfiguration(Configuration(ConfigurationDocument(pools = pools), emptyMap())),
            dispatcher = Dispatchers.Default.limitedParallelism(1),
            interval = 50.milliseconds,
        )
    }

    @Test
    fun `each engine loads once, within the rate limit of the store, and never for a stale leaseholder`() =
        runBlocking<Unit> {
            engines[1].faults = EngineFaults(checkFencing = false)
            val running = launch { loop().run() }
            while (engines.any { client.load(it.address).getOrNull()?.models != listOf("chimney") }) delay(20)
            running.cancel()
            val statuses = standIn.weights.received().map { it.status }
            assertEquals(2, statuses.count { it == WeightStandIn.ACCEPTED })
            assertEquals(
                1,
                statuses.count { it == WeightStandIn.TOO_MANY_REQUESTS },
                "calls before Retry-After: $statuses",
            )
            assertEquals(listOf(1, 1), engines.map { it.received().orders.size })
            val stale =
                ModelOrder(OrderId("o"), FencingToken(6), VmId("vm-2"), ModelOrderKind.LOAD_MODEL, "other")
            val rejected = client.order(engines[0].address, stale).leftOrNull()
            assertEquals(409, assertIs<BackendFailure.Rejected>(rejected).status)
            assertIs<BackendFailure.Interrupted>(client.order(engines[1].address, stale) { false }.leftOrNull())
            assertEquals(1, engines[1].received().orders.size, "an order was sent although the lease did not permit it")
            guard.fencingToken = null
            val loopWithoutLease = launch { loop().run() }
            delay(300)
            loopWithoutLease.cancel()
            assertEquals(statuses.size, standIn.weights.received().size)
        }
}
