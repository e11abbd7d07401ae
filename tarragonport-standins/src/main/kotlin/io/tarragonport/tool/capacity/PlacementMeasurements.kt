package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.core.placement.PlacementInput
import io.tarragonport.core.placement.PlacementPolicy
import io.tarragonport.core.placement.PlacementPool
import io.tarragonport.core.placement.PlacementSettings
import io.tarragonport.core.placement.PoolLoad
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Measures the placement of one region for several numbers of backend servers.
 *
 * A decision is made every [DECISION_INTERVAL_SECONDS] seconds for [POOLS] pools in [DOMAINS] failure domains. The load
 * is proportional to the number of servers. Reading the inventory and sending orders are not included.
 */
class PlacementMeasurements(
    private val sizes: List<Int> = listOf(20, 300, 1_333),
) {
    fun measureAll(): List<Series> =
        listOf(
            series("CPU of placement decisions", "% of a core", ProbeBounds.CPU_CORE_PERCENT, ::cpuPercent),
            series("placement state in memory", "bytes", ProbeBounds.MEMORY_BYTES) { size ->
                HeapMeter.retained { SimulatedRegion(size).also { it.decide() } }.toDouble()
            },
        )

    private fun cpuPercent(servers: Int): Double {
        val region = SimulatedRegion(servers)
        repeat(WARM_UP_DECISIONS) { region.decide() }
        val threads = ManagementFactory.getThreadMXBean()
        val cpuBefore = threads.currentThreadCpuTime
        repeat(MEASURED_DECISIONS) { region.decide() }
        val nanosPerDecision = (threads.currentThreadCpuTime - cpuBefore) / MEASURED_DECISIONS.toDouble()
        return PERCENT * nanosPerDecision / NANOSECONDS_PER_SECOND / DECISION_INTERVAL_SECONDS
    }

    private class SimulatedRegion(
        servers: Int,
    ) {
        private val time = TestTimeSource()
        private val policy = PlacementPolicy(PlacementSettings(), time)
        private val domains = List(DOMAINS) { FailureDomainId("region-0-$it") }
        private val ids = List(POOLS) { PoolId("model-$it") }
        private val inventory = List(servers) { server(it) }
        private val pools = ids.map { pool(it, servers) }
        private val loads =
            ids.map { id ->
                PoolLoad(id, running = inventory.count { it.pool == id } * RUNNING_PER_SERVER, durableShare = 0.5)
            }

        fun decide() {
            policy.decide(PlacementInput(pools, loads, inventory, domains.toSet()))
            time += DECISION_INTERVAL_SECONDS.seconds
        }

        private fun server(index: Int) =
            InventoryServer(
                BackendServerId("server-$index"),
                "10.30.${index / 200}.${index % 200}:8000",
                ids[index % POOLS],
                domains[index / POOLS % DOMAINS],
                cheap = index % 3 == 0,
            )

        private fun pool(
            id: PoolId,
            servers: Int,
        ) = PlacementPool(
            Pool(id, PoolKind.MODEL, "$id", minimumServers = 1, maximumServers = servers, cheapAllowed = true),
            domains,
            60.seconds,
        )
    }

    private fun series(
        mechanism: String,
        unit: String,
        bound: Double?,
        measure: (Int) -> Double,
    ) = Series(mechanism, unit, "servers", sizes.map { Measurement(it, measure(it)) }, sizes.last(), bound)

    private companion object {
        const val DOMAINS = 4
        const val POOLS = 18
        const val RUNNING_PER_SERVER = 5
        const val DECISION_INTERVAL_SECONDS = 5
        const val WARM_UP_DECISIONS = 100
        const val MEASURED_DECISIONS = 100
        const val PERCENT = 100.0
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
