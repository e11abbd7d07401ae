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
 * Loads the models of started model servers while this VM holds the lease of [guard]: asks the weight store for a
 * transfer, then orders the server to load, until its load report shows the model.
 *
 * The lease is checked immediately before each transfer and each order is written. A new holder knows only the load
 * reports and starts each unfinished load again; a second transfer of the same weights changes nothing.
 */
class WeightLoop(
    private val vm: VmId,
    private val region: RegionId,
    private val weights: WeightStore,
    private val engines: BackendServerClient,
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

    private val plan = LoadPollPlan()
    private val loads = HashMap<BackendServerId, ModelLoad>()
    private val loaded = HashSet<BackendServerId>()
    private val transferTurn = Mutex()
    private var transfersFrom = clock.markNow()
    private var tenure: FencingToken? = null
    private var orders = 0

    /** Runs until the coroutine is cancelled. */
    suspend fun run() =
        withContext(dispatcher) {
            while (true) {
                guard.authorize(LONGEST_CALL)?.let { round(it) }
                delay(interval)
            }
        }

    private suspend fun round(number: FencingToken) {
        if (number != tenure) {
            loads.clear()
            loaded.clear()
            orders = 0
        }
        tenure = number
        val targets = targets().associateBy { it.server.id }
        loads.keys.retainAll(targets.keys)
        loaded.retainAll(targets.keys)
        val next = plan.next(targets.keys, targets.keys - loaded)
        coroutineScope { next.forEach { launch { advance(targets.getValue(it), number) } } }
    }

    /** Model servers that the platform started; a server that operators list comes with its model. */
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
        number: FencingToken,
    ) {
        val id = target.server.id
        val report = engines.load(target.server.address).getOrNull() ?: return
        if (report.supports(target.model)) {
            loaded += id
            if (loads.remove(id) != null) log(WeightEvents.LOADED, target, "")
            return
        }
        loaded -= id
        val load = loads.getOrPut(id) { ModelLoad() }
        if (!load.transferred) transferTurn.withLock { transfer(target, load, number) }
        if (load.transferred && load.orderedAt == null) order(target, load, number)
        if (load.orderedAt?.let { it.elapsedNow() > LOAD_LIMIT } == true) {
            log(WeightEvents.LOAD_LATE, target, "after $LOAD_LIMIT")
            loads -= id
        }
    }

    private suspend fun transfer(
        target: Target,
        load: ModelLoad,
        number: FencingToken,
    ) {
        if (transfersFrom.hasNotPassedNow()) return
        weights.transfer(target.model, target.server.id, number) { permits(number) }.fold(
            { transferFailed(target, it) },
            {
                load.transferred = true
                log(WeightEvents.TRANSFER_ACCEPTED, target, "fencing number $number")
            },
        )
    }

    private fun transferFailed(
        target: Target,
        error: PlatformError,
    ) {
        if (error is PlatformError.Rejected && error.status == TOO_MANY) {
            val wait = error.retryAfter ?: interval
            transfersFrom = clock.markNow() + wait
            log(WeightEvents.TRANSFER_THROTTLED, target, "next in $wait")
        } else {
            log(WeightEvents.TRANSFER_FAILED, target, "$error")
        }
    }

    private suspend fun order(
        target: Target,
        load: ModelLoad,
        number: FencingToken,
    ) {
        val order = load.order ?: modelOrder(target, number).also { load.order = it }
        engines.order(target.server.address, order) { permits(number) }.fold(
            { log(WeightEvents.LOAD_ORDER_FAILED, target, "${order.orderId} $it") },
            {
                load.orderedAt = clock.markNow()
                log(WeightEvents.LOAD_ORDERED, target, "${order.orderId} fencing number $number")
            },
        )
    }

    private fun modelOrder(
        target: Target,
        number: FencingToken,
    ) = ModelOrder(
        orderId = OrderId("$region-model-$number-${++orders}"),
        fencingToken = number,
        holder = vm,
        kind = ModelOrderKind.LOAD_MODEL,
        name = target.model,
    )

    private fun permits(number: FencingToken): Boolean = guard.authorize(LONGEST_CALL) == number

    private fun log(
        event: LogEvent,
        target: Target,
        text: String,
    ) = logger.info { event.line("${target.model} on ${target.server.id} $text") }

    companion object {
        val INTERVAL: Duration = 2.seconds

        /** The longest order and the longest call of the weight store; the lease has to be valid for this long. */
        val LONGEST_CALL: Duration = 3.seconds

        /** Time for transfer and load together; after it something was lost that no answer shows. */
        val LOAD_LIMIT: Duration = 300.seconds
        private const val TOO_MANY = 429
    }
}
