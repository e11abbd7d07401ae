package io.tarragonport.tool.bench

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.core.admission.ServerStatus
import kotlin.math.roundToInt

/** The simulated servers of a run. */
object ServerFleet {
    val POOL = PoolId("model")
    private const val FAILURE_DOMAINS = 3

    /** Price of one second of an ordinary server; cheap servers cost less but can be reclaimed. */
    const val ORDINARY_PRICE = 1.0
    const val CHEAP_PRICE = 0.3

    fun servers(options: BenchOptions): List<ServerStatus> {
        val serverCount = options.deployment.servers
        val cheap = (serverCount * options.cheapShare).roundToInt()
        val unavailable = if (options.scenario == Scenario.NO_CHEAP_SERVERS) cheap / 2 else 0
        val cheapCount = if (options.scenario == Scenario.NO_CHEAP_SERVERS) 0 else cheap
        return (0 until serverCount - unavailable).map { index -> server(index, index < cheapCount) }
    }

    fun pricePerSecond(servers: List<ServerStatus>): Double =
        servers.sumOf { if (it.cheap) CHEAP_PRICE else ORDINARY_PRICE }

    private fun server(
        index: Int,
        cheap: Boolean,
    ) = ServerStatus(
        BackendServerId("server-$index"),
        "http://10.1.0.$index:8000",
        POOL,
        FailureDomainId("domain-${index % FAILURE_DOMAINS}"),
        cheap,
        EngineCosts.SLOTS,
    )
}
