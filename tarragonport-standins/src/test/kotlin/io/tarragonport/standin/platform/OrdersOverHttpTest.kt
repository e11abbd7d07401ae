package io.tarragonport.standin.platform

import io.tarragonport.core.lease.LeaseSettings
import io.tarragonport.core.placement.PlacementSettings
import io.tarragonport.core.placement.PoolLoad
import io.tarragonport.platform.HttpBackendServerInterface
import io.tarragonport.platform.HttpObjectStore
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.platform.PlatformTimeouts
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Only the current leaseholder may give orders, also with a paused control thread, lost responses or an outage.
 *
 * The test uses HTTP and intervals of a tenth of those in production. On a slow machine it takes longer, but its checks
 * are the same.
 */
@Timeout(90)
class OrdersOverHttpTest {
    private val standIn =
        PlatformStandIn(InventoryFile(spares = PlacementTestVm.spares(), startDelayMs = 50, checksFencing = false))
    private val url = "http://127.0.0.1:${standIn.start()}"
    private val runningRequests = AtomicInteger(1)
    private val controlThreads = mutableListOf<ExecutorCoroutineDispatcher>()
    private val clients = mutableListOf<PlatformHttp>()
    private val scopes = mutableListOf<CoroutineScope>()

    @AfterEach
    fun stop() {
        scopes.forEach { it.cancel() }
        controlThreads.forEach { it.close() }
        clients.forEach { it.close() }
        standIn.close()
    }

    @Test
    fun `orders stay fenced during a pause, lost responses and an outage`() =
        runBlocking<Unit> {
            val vms = listOf(vm("vm-0"), vm("vm-1"))
            awaitOrders(alreadyReceived = 0)
            standIn.faults[PlatformInterface.OBJECTS] = Faults(loseAnswerShare = 0.5)
            awaitOrders(alreadyReceived = standIn.backend.received().size)
            PlatformInterface.entries.forEach { standIn.faults[it] = Faults(unavailable = true) }
            delay(1.seconds)
            PlatformInterface.entries.forEach { standIn.faults[it] = Faults() }
            awaitOrders(alreadyReceived = standIn.backend.received().size)
            val holder =
                standIn.backend
                    .received()
                    .last()
                    .order.holder
            val resume = CountDownLatch(1)
            val paused = controlThreads[vms.indexOfFirst { it.name == holder.value }]
            paused.executor.execute { resume.await() }
            while (standIn.backend
                    .received()
                    .last()
                    .order.holder == holder
            ) {
                changeLoad()
            }
            resume.countDown()
            awaitOrders(alreadyReceived = standIn.backend.received().size)
            assertEquals(emptyList(), PlacementTestVm.violations(standIn.backend.received()))
        }

    /** Waits for three orders after the first [alreadyReceived]; changes the load until then. */
    private suspend fun awaitOrders(alreadyReceived: Int) {
        while (standIn.backend.received().size < alreadyReceived + 3) {
            changeLoad()
        }
    }

    private suspend fun changeLoad() {
        runningRequests.set(if (runningRequests.get() == 1) 6 else 1)
        delay(300.milliseconds)
    }

    private fun vm(name: String): PlacementTestVm {
        val http = PlatformHttp(url, PlatformTimeouts(call = 200.milliseconds, order = ORDER_TIMEOUT))
        val thread = Executors.newSingleThreadExecutor().asCoroutineDispatcher()
        val scope = CoroutineScope(thread)
        clients += http
        controlThreads += thread
        scopes += scope
        return PlacementTestVm(
            name = name,
            store = HttpObjectStore(http),
            backend = HttpBackendServerInterface(http),
            dispatcher = thread,
            clock = TimeSource.Monotonic,
            demand = { listOf(PoolLoad(PlacementTestVm.POOL, running = runningRequests.get())) },
            leaseSettings =
                LeaseSettings(
                    duration = 1.seconds,
                    margin = 200.milliseconds,
                    renewInterval = 200.milliseconds,
                    observeInterval = 200.milliseconds,
                    retryInterval = 50.milliseconds,
                    takeoverDelay = ORDER_TIMEOUT,
                ),
            placementSettings = PlacementSettings(scaleDownAfter = 100.milliseconds, pendingLimit = 1.seconds),
            orderTimeout = ORDER_TIMEOUT,
            interval = 100.milliseconds,
        ).also { it.start(scope) }
    }

    companion object {
        private val ORDER_TIMEOUT = 300.milliseconds
    }
}
