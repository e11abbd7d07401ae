package io.tarragonport.daemon.placement

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.daemon.event.line
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Polls the inventories of the region's failure domains at the intervals of [schedule]; runs on every VM.
 *
 * Domains are polled independently, so a domain that does not respond does not delay the others. [dispatcher] is the
 * single-threaded dispatcher of control loops.
 */
class InventoryPoller(
    private val backend: BackendServerInterface,
    private val domains: List<FailureDomainId>,
    private val dispatcher: CoroutineDispatcher,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val schedule: InventoryPollSchedule = InventoryPollSchedule.fixed(POLL_INTERVAL),
) : InventoryView {
    private val inventories = MutableStateFlow<Map<FailureDomainId, DomainInventory>>(emptyMap())
    private val published = MutableStateFlow<List<InventoryServer>>(emptyList())

    override val servers: StateFlow<List<InventoryServer>> = published.asStateFlow()

    /** Last inventory of each failure domain; a domain that never responded is missing. */
    val byDomain: StateFlow<Map<FailureDomainId, DomainInventory>> = inventories.asStateFlow()

    /** Runs until the coroutine is cancelled. */
    suspend fun run() =
        withContext(dispatcher) {
            domains.forEach { domain -> launch { poll(domain) } }
        }

    private suspend fun poll(domain: FailureDomainId) {
        var failing = false
        while (true) {
            val result = backend.servers(domain)
            result.onRight { update(domain, it) }
            result.leftOrNull()?.takeUnless { failing }?.let { error ->
                logger.warn { PlacementEvents.INVENTORY_FAILED.line("$domain: $error") }
            }
            failing = result.isLeft()
            awaitNext(domain, clock.markNow())
        }
    }

    /** Waits until the current interval has passed since [lastPoll]; a shorter interval takes effect immediately. */
    private suspend fun awaitNext(
        domain: FailureDomainId,
        lastPoll: ComparableTimeMark,
    ) {
        val intervals = schedule.intervals(domain)
        var interval = intervals.first()
        while (true) {
            val remaining = interval - lastPoll.elapsedNow()
            if (remaining <= Duration.ZERO) return
            interval = withTimeoutOrNull(remaining) { intervals.first { it != interval } } ?: return
        }
    }

    private fun update(
        domain: FailureDomainId,
        servers: List<InventoryServer>,
    ) {
        val before = inventories.value[domain]?.servers.orEmpty()
        logReclaims(before, servers)
        inventories.value += domain to DomainInventory(servers, clock.markNow())
        published.value = domains.flatMap { inventories.value[it]?.servers.orEmpty() }
    }

    private fun logReclaims(
        before: List<InventoryServer>,
        now: List<InventoryServer>,
    ) {
        val leavingBefore = before.filter { it.leavesInMs != null }.map { it.id }.toSet()
        now
            .filter { it.leavesInMs != null && it.id !in leavingBefore }
            .forEach { server ->
                val text = "${server.id} in ${server.failureDomain} leaves in ${server.leavesInMs} ms"
                logger.info { PlacementEvents.RECLAIM_NOTICE.line(text) }
            }
    }

    companion object {
        /** New requests to a leaving server must stop within 3 s, so the interval is shorter than that. */
        val POLL_INTERVAL: Duration = 2.seconds
    }
}
