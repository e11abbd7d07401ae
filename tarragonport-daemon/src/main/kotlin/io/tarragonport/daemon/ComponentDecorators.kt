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
 * The mechanisms behind some guarantees, as the parts of a daemon see them.
 *
 * The daemon uses each as it is. The fault run replaces one at a time, to show that the matching invariant fails
 * without it; no setting or argument of the shipped daemon does that.
 */
open class ComponentDecorators {
    /** Keeps requests that may not be repeated from running twice. */
    open fun intents(registry: IntentRegistry): IntentRegistry = registry

    /** Gives traffic the configuration in force, withdrawn keys included. */
    open fun configuration(source: ConfigurationSource): ConfigurationSource = source

    /** Tells peers of backend server crashes before the requests in flight run again. */
    open fun crashes(reports: CrashReporter): CrashReporter = reports

    /** Reaches backend servers; chats check what arrives through it. */
    open fun backend(client: BackendServerClient): BackendServerClient = client

    /** Tells routing which servers there are and which of them are leaving. */
    open fun servers(servers: StateFlow<List<ServerStatus>>): StateFlow<List<ServerStatus>> = servers

    /** States how a request ended and whether it can have run. */
    open fun result(end: RequestOutcome): RequestOutcome = end

    /** Permits orders to the backend server interface. */
    open fun orderLease(guard: LeaseGuard): LeaseGuard = guard
}
