package io.tarragonport.daemon.placement

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.backend.ModelOrder
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.WeightStore
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import java.lang.reflect.Proxy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests model loading with lost responses, throttled transfers, changes of the lease holder and stale holders. */
class WeightLoopTest {
    private class Lease(
        var token: FencingToken?,
        var remainingChecks: Int = Int.MAX_VALUE,
    ) : LeaseGuard {
        override val heldToken = MutableStateFlow(token)

        override fun heldFor(): Duration? = null

        override fun authorize(longestCall: Duration): FencingToken? = token.takeIf { remainingChecks-- > 0 }
    }

    private val lease = Lease(FencingToken(1))
    private val inventory =
        object : InventoryView {
            override val servers = MutableStateFlow<List<InventoryServer>>(emptyList())
        }
    private val configuration =
        object : ConfigurationSource {
            private val pools = listOf(Pool(PoolId("p"), PoolKind.MODEL, "chimney"))
            private val document = ConfigurationDocument(pools = pools)
            override val current = MutableStateFlow<Configuration?>(Configuration(document, emptyMap()))
            override val isolated = MutableStateFlow(false)
        }
    private val transferResponses = ArrayDeque<Either<PlatformError, Unit>>()
    private val orderResponses = ArrayDeque<Either<BackendFailure, Unit>>()
    private val transfers = mutableListOf<Pair<BackendServerId, FencingToken>>()
    private val transferTimes = mutableListOf<ComparableTimeMark>()
    private val orders = mutableListOf<ModelOrder>()
    private val loaded = mutableSetOf<String>()
    private val unavailable: Either<PlatformError, Unit> = PlatformError.Unavailable("lost").left()
    private val lostResponse: Either<BackendFailure, Unit> = BackendFailure.Interrupted("lost").left()

    private fun store(clock: () -> ComparableTimeMark) =
        object : WeightStore {
            override suspend fun transfer(
                model: String,
                server: BackendServerId,
                fencingToken: FencingToken,
                permitted: () -> Boolean,
            ): Either<PlatformError, Unit> {
                if (!permitted()) return PlatformError.Refused("withheld").left()
                transfers += server to fencingToken
                transferTimes += clock()
                return transferResponses.removeFirstOrNull() ?: Unit.right()
            }
        }

    /** Model engines at the addresses of the inventory; they do not check fencing tokens. */
    private val engines =
        Proxy.newProxyInstance(javaClass.classLoader, arrayOf(BackendServerClient::class.java)) { _, method, args ->
            val address = args[0] as String
            if (method.name == "load") {
                val models = if (address in loaded) listOf("chimney") else emptyList()
                LoadReport(BackendServerId("e"), 0, 0, 0, models = models).right()
            } else {
                check(method.name == "order") { "${method.name} is not expected" }
                @Suppress("UNCHECKED_CAST")
                order(args[1] as ModelOrder, args[2] as () -> Boolean)
            }
        } as BackendServerClient

    private fun order(
        order: ModelOrder,
        permitted: () -> Boolean,
    ): Either<BackendFailure, Unit> {
        if (!permitted()) return lostResponse
        orders += order
        return orderResponses.removeFirstOrNull() ?: Unit.right()
    }

    private fun TestScope.start(
        servers: Int,
        vm: String = "vm-1",
        guard: LeaseGuard = lease,
    ) {
        inventory.servers.value =
            (1..servers).map { InventoryServer(BackendServerId("s$it"), "a$it", PoolId("p"), FailureDomainId("d")) }
        val loop =
            WeightLoop(
                vm = VmId(vm),
                region = RegionId("r"),
                weights = store { testTimeSource.markNow() },
                serverClient = engines,
                inventory = inventory,
                guard = guard,
                configuration = configuration,
                dispatcher = StandardTestDispatcher(testScheduler),
                clock = testTimeSource,
            )
        backgroundScope.launch { loop.run() }
    }

    @Test
    fun `each started server gets one transfer and then one order, a loaded server gets neither`() =
        runTest {
            loaded += "a2"
            start(3)
            delay(20.seconds)
            assertEquals(listOf("s1", "s3"), transfers.map { it.first.value })
            assertEquals(2, orders.map { it.orderId }.distinct().size)
            assertEquals(2, orders.size)
        }

    @Test
    fun `after a 429 response no transfer is requested before the retry time of the store`() =
        runTest {
            val throttled = PlatformError.Rejected(429, "", 20.seconds).left()
            transferResponses.addAll(listOf(Unit.right(), throttled, throttled))
            start(3)
            delay(60.seconds)
            val transferSeconds = transferTimes.map { (it - transferTimes.first()).inWholeSeconds }
            assertEquals(listOf(0L, 0L, 20L, 40L, 40L), transferSeconds)
            assertEquals(3, orders.size)
        }

    @Test
    fun `requests with lost responses are retried, orders with the same id`() =
        runTest {
            transferResponses.addAll(listOf(unavailable, unavailable))
            orderResponses.addAll(listOf(lostResponse, lostResponse))
            start(1)
            delay(20.seconds)
            assertEquals(3, transfers.size)
            assertEquals(3, orders.size)
            assertEquals(1, orders.distinct().size)
        }

    @Test
    fun `a new holder finishes the loads of the old one, which sends nothing more`() =
        runTest {
            orderResponses.addAll(List(2) { lostResponse })
            start(1)
            delay(3.seconds)
            lease.token = null
            val successor = Lease(FencingToken(2))
            start(1, "vm-2", successor)
            delay(1.seconds)
            assertEquals(FencingToken(2), orders.last().fencingToken)
            assertEquals(listOf(1L, 2L), transfers.map { it.second.value })
            val before = orders.size
            delay(30.seconds)
            assertEquals(before, orders.size)
            loaded += "a1"
            delay(400.seconds)
            assertEquals(2, transfers.size, "a loaded server gets no transfer")
        }

    @Test
    fun `a holder whose lease ends between decision and send sends nothing, even to servers that ignore fencing`() =
        runTest {
            for (allowed in listOf(1, 2)) {
                transfers.clear()
                orders.clear()
                start(1, guard = Lease(FencingToken(1), remainingChecks = allowed))
                delay(20.seconds)
                assertEquals(allowed - 1, transfers.size, "transfers with $allowed checks passed")
                assertEquals(0, orders.size)
            }
        }

    @Test
    fun `a load that is never reported is restarted`() =
        runTest {
            start(1)
            delay(WeightLoop.LOAD_TIMEOUT + 10.seconds)
            assertEquals(2, transfers.size)
            assertEquals(2, orders.distinct().size)
            assertTrue(orders.all { it.fencingToken == FencingToken(1) })
        }
}
