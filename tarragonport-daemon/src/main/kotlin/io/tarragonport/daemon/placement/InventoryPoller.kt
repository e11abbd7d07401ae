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
 * Polls the inventory of the region's failure domains on every VM, as often as [schedule] says.
 *
 * Domains are polled independently, so a domain that does not answer delays no other. [dispatcher] is the
 * single-threaded dispatcher of control loops.
 */
class InventoryPoller(
    private val backend: BackendServerInterface,
    private val domains: List<FailureDomainId>,
    private val dispatcher: CoroutineDispatcher,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val schedule: InventoryPollSchedule = InventoryPollSchedule.fixed(POLL_INTERVAL),
) : InventoryView {
    private val answers = MutableStateFlow<Map<FailureDomainId, DomainInventory>>(emptyMap())
    private val published = MutableStateFlow<List<InventoryServer>>(emptyList())

    override val servers: StateFlow<List<InventoryServer>> = published.asStateFlow()

    /** Last answers by failure domain; a domain that never answered is missing. */
    val byDomain: StateFlow<Map<FailureDomainId, DomainInventory>> = answers.asStateFlow()

    /** Runs until the coroutine is cancelled. */
    suspend fun run() =
        withContext(dispatcher) {
            domains.forEach { domain -> launch { poll(domain) } }
        }

    private suspend fun poll(domain: FailureDomainId) {
        var failing = false
        while (true) {
            val answer = backend.servers(domain)
            answer.onRight { accept(domain, it) }
            answer.leftOrNull()?.takeUnless { failing }?.let { error ->
                logger.warn { PlacementEvents.INVENTORY_FAILED.line("$domain: $error") }
            }
            failing = answer.isLeft()
            awaitNext(domain, clock.markNow())
        }
    }

    /** Waits until the interval in force has passed since [last]; a VM that becomes a reader starts to read at once. */
    private suspend fun awaitNext(
        domain: FailureDomainId,
        last: ComparableTimeMark,
    ) {
        val intervals = schedule.intervals(domain)
        var interval = intervals.first()
        while (true) {
            val remaining = interval - last.elapsedNow()
            if (remaining <= Duration.ZERO) return
            interval = withTimeoutOrNull(remaining) { intervals.first { it != interval } } ?: return
        }
    }

    private fun accept(
        domain: FailureDomainId,
        servers: List<InventoryServer>,
    ) {
        val before = answers.value[domain]?.servers.orEmpty()
        announceReclaims(before, servers)
        answers.value += domain to DomainInventory(servers, clock.markNow())
        published.value = domains.flatMap { answers.value[it]?.servers.orEmpty() }
    }

    private fun announceReclaims(
        before: List<InventoryServer>,
        now: List<InventoryServer>,
    ) {
        val known = before.filter { it.leavesInMs != null }.map { it.id }.toSet()
        now
            .filter { it.leavesInMs != null && it.id !in known }
            .forEach { server ->
                val text = "${server.id} in ${server.failureDomain} leaves in ${server.leavesInMs} ms"
                logger.info { PlacementEvents.RECLAIM_NOTICE.line(text) }
            }
    }

    companion object {
        /** A leaving server gets no new work after 3 s (G11), so the inventory is read more often than that. */
        val POLL_INTERVAL: Duration = 2.seconds
    }
}
