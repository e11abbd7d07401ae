package io.tarragonport.daemon.caller

import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.dispatch.DecisionTraces
import io.tarragonport.daemon.dispatch.RequestExecutor
import io.tarragonport.daemon.dispatch.TrafficMetrics
import io.tarragonport.daemon.intent.IntentRegistry
import io.tarragonport.daemon.usage.UsageMeter
import kotlinx.coroutines.CoroutineScope
import kotlin.time.TimeSource

/**
 * Dependencies of the caller endpoints. [scope] outlives single requests: requests that must not be repeated run in it
 * to their end even if their caller disconnects. It requires a supervisor job.
 */
class CallerContext(
    val settings: ProcessSettings,
    val configuration: ConfigurationSource,
    val executor: RequestExecutor,
    val client: BackendServerClient,
    val intents: IntentRegistry,
    val usage: UsageMeter,
    val limits: RateLimiter,
    val traces: DecisionTraces,
    val metrics: TrafficMetrics,
    val timeSource: TimeSource.WithComparableMarks,
    val scope: CoroutineScope,
)
