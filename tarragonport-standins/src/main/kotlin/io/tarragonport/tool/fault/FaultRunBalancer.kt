package io.tarragonport.tool.fault

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Selects a random ready VM for each request. Like the platform's load balancer, it polls readiness every 300 ms. */
class FaultRunBalancer(
    private val vms: List<VmProcess>,
    private val client: FaultRunClient,
    private val random: Random,
) {
    @Volatile
    private var ready: List<VmProcess> = emptyList()

    suspend fun run() {
        while (true) {
            ready = poll()
            delay(POLL_INTERVAL)
        }
    }

    /** Returns a ready VM; suspends until there is one. */
    suspend fun nextReadyVm(): VmProcess {
        while (true) {
            val readyVms = ready
            if (readyVms.isNotEmpty()) return readyVms[random.nextInt(readyVms.size)]
            delay(POLL_INTERVAL)
        }
    }

    private suspend fun poll(): List<VmProcess> =
        coroutineScope {
            vms
                .map { vm -> async { vm.takeIf { withTimeoutOrNull(PROBE_TIMEOUT) { client.isReady(vm) } == true } } }
                .awaitAll()
                .filterNotNull()
        }

    private companion object {
        val POLL_INTERVAL = 300.milliseconds
        val PROBE_TIMEOUT = 300.milliseconds
    }
}
