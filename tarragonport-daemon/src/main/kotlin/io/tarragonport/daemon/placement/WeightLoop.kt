package io.tarragonport.daemon.placement

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.ModelOrder
import io.tarragonport.api.backend.ModelOrderKind
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrderId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.WeightStore
import io.tarragonport.core.routing.LoadPollPlan
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.event.line
import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Loads the models of started model engines while this VM holds the lease of [guard]. For each server, it requests a
 * transfer from the weight store and then orders the server to load the model; both are repeated as needed until the
 * server's load report lists the model.
 *
 * The lease is checked immediately before each transfer request and each order is written. A new holder of the lease
 * knows only the load reports and restarts every unfinished load; a repeated transfer of the same weights has no
 * effect.
 */
class WeightLoop(
    private val vm: VmId,
    private val region: RegionId,
    private val weights: WeightStore,
    private val serverClient: BackendServerClient,
    private val inventory: InventoryView,
    private val guard: LeaseGuard,
    private val configuration: ConfigurationSource,
    private val dispatcher: CoroutineDispatcher,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val interval: Duration = INTERVAL,
) {
    private class Target(
        val server: InventoryServer,
        val model: String,
    )

    private val pollPlan = LoadPollPlan()
    private val loads = HashMap<BackendServerId, ModelLoadProgress>()
    private val loaded = HashSet<BackendServerId>()
    private val transferMutex = Mutex()
    private var nextTransferAt = clock.markNow()
    private var currentToken: FencingToken? = null
    private var orderCount = 0

    /** Runs until the coroutine is cancelled. */
    suspend fun run() =
        withContext(dispatcher) {
            while (true) {
                guard.authorize(LONGEST_CALL)?.let { runRound(it) }
                delay(interval)
            }
        }

    private suspend fun runRound(token: FencingToken) {
        if (token != currentToken) {
            loads.clear()
            loaded.clear()
            orderCount = 0
        }
        currentToken = token
        val targets = targets().associateBy { it.server.id }
        loads.keys.retainAll(targets.keys)
        loaded.retainAll(targets.keys)
        val next = pollPlan.next(targets.keys, targets.keys - loaded)
        coroutineScope { next.forEach { launch { advance(targets.getValue(it), token) } } }
    }

    /** Model engines that the platform started; servers listed by operators already have their model. */
    private fun targets(): List<Target> {
        val current = configuration.current.value ?: return emptyList()
        val listed =
            current.document.pools
                .flatMap { pool -> pool.servers.map { it.id } }
                .toSet()
        return inventory.servers.value
            .filter { it.state == InventoryServerState.LIVE && it.id !in listed }
            .mapNotNull { server ->
                val pool = current.pool(server.pool)?.takeIf { it.kind == PoolKind.MODEL }
                pool?.let { Target(server, it.name) }
            }
    }

    private suspend fun advance(
        target: Target,
        token: FencingToken,
    ) {
        val id = target.server.id
        val report = serverClient.load(target.server.address).getOrNull() ?: return
        if (report.supports(target.model)) {
            loaded += id
            if (loads.remove(id) != null) log(WeightEvents.LOADED, target, "")
            return
        }
        loaded -= id
        val load = loads.getOrPut(id) { ModelLoadProgress() }
        if (!load.transferred) transferMutex.withLock { transfer(target, load, token) }
        if (load.transferred && load.orderedAt == null) order(target, load, token)
        if (load.orderedAt?.let { it.elapsedNow() > LOAD_TIMEOUT } == true) {
            log(WeightEvents.LOAD_LATE, target, "not loaded within $LOAD_TIMEOUT")
            loads -= id
        }
    }

    private suspend fun transfer(
        target: Target,
        load: ModelLoadProgress,
        token: FencingToken,
    ) {
        if (nextTransferAt.hasNotPassedNow()) return
        weights.transfer(target.model, target.server.id, token) { permits(token) }.fold(
            { handleTransferFailure(target, it) },
            {
                load.transferred = true
                log(WeightEvents.TRANSFER_ACCEPTED, target, "fencing token $token")
            },
        )
    }

    private fun handleTransferFailure(
        target: Target,
        error: PlatformError,
    ) {
        if (error is PlatformError.Rejected && error.status == TOO_MANY_REQUESTS) {
            val wait = error.retryAfter ?: interval
            nextTransferAt = clock.markNow() + wait
            log(WeightEvents.TRANSFER_THROTTLED, target, "next transfer in $wait")
        } else {
            log(WeightEvents.TRANSFER_FAILED, target, "$error")
        }
    }

    private suspend fun order(
        target: Target,
        load: ModelLoadProgress,
        token: FencingToken,
    ) {
        val order = load.order ?: modelOrder(target, token).also { load.order = it }
        serverClient.order(target.server.address, order) { permits(token) }.fold(
            { log(WeightEvents.LOAD_ORDER_FAILED, target, "${order.orderId} $it") },
            {
                load.orderedAt = clock.markNow()
                log(WeightEvents.LOAD_ORDERED, target, "${order.orderId} fencing token $token")
            },
        )
    }

    private fun modelOrder(
        target: Target,
        token: FencingToken,
    ) = ModelOrder(
        orderId = OrderId("$region-model-$token-${++orderCount}"),
        fencingToken = token,
        holder = vm,
        kind = ModelOrderKind.LOAD_MODEL,
        name = target.model,
    )

    private fun permits(token: FencingToken): Boolean = guard.authorize(LONGEST_CALL) == token

    private fun log(
        event: LogEvent,
        target: Target,
        text: String,
    ) = logger.info { event.line("${target.model} on ${target.server.id} $text") }

    companion object {
        val INTERVAL: Duration = 2.seconds

        /** Longest duration of an order or a weight store call; the lease must remain valid for this long. */
        val LONGEST_CALL: Duration = 3.seconds

        /** Time for transfer and load together; after that one of them is assumed lost and repeated. */
        val LOAD_TIMEOUT: Duration = 300.seconds
        private const val TOO_MANY_REQUESTS = 429
    }
}
