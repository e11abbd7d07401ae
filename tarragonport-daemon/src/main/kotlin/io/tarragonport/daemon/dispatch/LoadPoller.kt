package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.routing.LoadPollPlan
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Polls model engines for load and cache events and passes both to the [dispatcher]. In each [interval] it polls the
 * engines that [LoadPollPlan] selects.
 */
class LoadPoller(
    private val client: BackendServerClient,
    private val dispatcher: Dispatcher,
    private val interval: Duration = 1.seconds,
) {
    private val unreachableEngines = MutableStateFlow<Set<BackendServerId>>(emptySet())
    private val reportedModels = MutableStateFlow<Map<BackendServerId, List<String>?>>(emptyMap())
    private val lastSequences = ConcurrentHashMap<BackendServerId, Long>()
    private val plan = LoadPollPlan()

    /** Engines that refused a connection at the last poll. */
    val unreachable: StateFlow<Set<BackendServerId>> = unreachableEngines

    /**
     * Models by engine, as listed in its last load report; null if the report has no list. Engines that have not
     * reported yet are absent.
     */
    val models: StateFlow<Map<BackendServerId, List<String>?>> = reportedModels

    /** Polls the engines that [engines] returns until cancelled. */
    suspend fun run(engines: () -> List<ServerStatus>) {
        while (true) {
            pollRound(engines())
            delay(interval)
        }
    }

    /** Polls the selected [engines] concurrently. */
    private suspend fun pollRound(engines: List<ServerStatus>) {
        retainOnly(engines)
        val byId = engines.associateBy { it.id }
        val unreported = byId.keys - reportedModels.value.keys
        val chosen = plan.next(byId.keys, dispatcher.runningServers + unreachableEngines.value + unreported)
        coroutineScope { chosen.forEach { launch { poll(byId.getValue(it)) } } }
    }

    private fun retainOnly(engines: List<ServerStatus>) {
        val listed = engines.mapTo(HashSet()) { it.id }
        lastSequences.keys.retainAll(listed)
        unreachableEngines.update { it intersect listed }
        reportedModels.update { models -> models.filterKeys { it in listed } }
    }

    private suspend fun poll(engine: ServerStatus) {
        client.load(engine.address).fold({ failure ->
            if (failure is BackendFailure.NotSent) markUnreachable(engine.id)
        }) { report ->
            unreachableEngines.update { it - engine.id }
            reportedModels.update { it + (engine.id to report.models) }
            dispatcher.loadReported(report.copy(server = engine.id))
            pollCache(engine)
        }
    }

    /** Forgets the last event sequence: a restarted engine has an empty cache and numbers its events from the start. */
    private fun markUnreachable(engine: BackendServerId) {
        unreachableEngines.update { it + engine }
        lastSequences.remove(engine)
    }

    private suspend fun pollCache(engine: ServerStatus) {
        val after = lastSequences[engine.id] ?: 0
        client.cacheEvents(engine.address, after).onRight { events ->
            val last = events.maxOfOrNull { it.sequence } ?: return@onRight
            lastSequences[engine.id] = last
            dispatcher.cacheChanged(engine.id, events)
        }
    }
}
