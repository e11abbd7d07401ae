package io.tarragonport.daemon

import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.dispatch.CrashReporter
import io.tarragonport.daemon.dispatch.RequestOutcome
import io.tarragonport.daemon.intent.IntentRegistry
import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.coroutines.flow.StateFlow

/**
 * Hooks that wrap the components on which guarantees of the daemon depend; by default each component is returned
 * unchanged.
 *
 * The fault-injection run overrides one hook at a time to show that the corresponding invariant check fails without
 * the component. No setting or argument of the released daemon changes them.
 */
open class ComponentDecorators {
    /** Prevents requests with an idempotency key from running twice. */
    open fun intents(registry: IntentRegistry): IntentRegistry = registry

    /** Provides traffic with the active configuration, including withdrawals of keys. */
    open fun configuration(source: ConfigurationSource): ConfigurationSource = source

    /** Reports backend server crashes to peers before the affected requests are retried. */
    open fun crashReporter(reporter: CrashReporter): CrashReporter = reporter

    /** Calls backend servers; the chat handler verifies the responses that it returns. */
    open fun backend(client: BackendServerClient): BackendServerClient = client

    /** Provides routing with the backend servers and their state, including those that are leaving. */
    open fun servers(servers: StateFlow<List<ServerStatus>>): StateFlow<List<ServerStatus>> = servers

    /** Determines the reported outcome of a request, including whether it may have been executed. */
    open fun outcome(outcome: RequestOutcome): RequestOutcome = outcome

    /** Authorises orders to the backend server interface. */
    open fun orderLease(guard: LeaseGuard): LeaseGuard = guard
}
