package io.tarragonport.tool.fault

import arrow.core.Either
import arrow.core.right
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.daemon.ComponentDecorators
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.dispatch.CrashReporter
import io.tarragonport.daemon.intent.ClaimGrant
import io.tarragonport.daemon.intent.ClaimResult
import io.tarragonport.daemon.intent.IntentRegistry
import io.tarragonport.daemon.intent.RecordedResponse
import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.coroutines.GlobalScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.SharingStarted
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.stateIn
import kotlinx.coroutines.flow.take
import kotlin.time.Duration
import io.tarragonport.daemon.dispatch.RequestOutcome as Outcome

/** Decorators that disable one protection of a daemon each, by the name given to `--disable`. */
internal object DisabledProtections {
    val BY_NAME: Map<String, ComponentDecorators> =
        mapOf(
            "intent-record" to WithoutIntentRecord,
            "configuration-updates" to WithoutConfigurationUpdates,
            "order-lease" to WithoutOrderLease,
            "resume-check" to WithoutResumeCheck,
            "crash-announcement" to WithoutCrashAnnouncement,
            "leaving-servers" to WithoutLeavingServers,
            "ran-statement" to WithoutExecutionStatus,
        )

    private object WithoutIntentRecord : ComponentDecorators() {
        override fun intents(registry: IntentRegistry): IntentRegistry = GrantingRegistry
    }

    private object WithoutConfigurationUpdates : ComponentDecorators() {
        override fun configuration(source: ConfigurationSource): ConfigurationSource = FirstConfiguration(source)
    }

    private object WithoutOrderLease : ComponentDecorators() {
        override fun orderLease(guard: LeaseGuard): LeaseGuard = PermissiveGuard
    }

    private object WithoutResumeCheck : ComponentDecorators() {
        override fun backend(client: BackendServerClient): BackendServerClient = UncheckedClient(client)
    }

    private object WithoutCrashAnnouncement : ComponentDecorators() {
        override fun crashReporter(reporter: CrashReporter): CrashReporter = CrashReporter.None
    }

    private object WithoutLeavingServers : ComponentDecorators() {
        override fun servers(servers: StateFlow<List<ServerStatus>>): StateFlow<List<ServerStatus>> =
            servers
                .map { statuses -> statuses.map { it.copy(leaving = false) } }
                .stateIn(GlobalScope, SharingStarted.Eagerly, emptyList())
    }

    /** Reports every failed request as not executed. */
    private object WithoutExecutionStatus : ComponentDecorators() {
        override fun outcome(end: Outcome): Outcome =
            if (end is Outcome.Ended) end.copy(error = end.error.copy(executionStatus = ExecutionStatus.NO)) else end
    }

    /** Grants every claim and records none. */
    private object GrantingRegistry : IntentRegistry {
        override suspend fun claim(
            organisation: OrganisationId,
            idempotencyKey: String,
            bodyDigest: String,
            retentionHours: Int,
        ): Either<RequestError, ClaimResult> = ClaimResult.Granted(ClaimGrant(idempotencyKey, bodyDigest)).right()

        override suspend fun finish(
            grant: ClaimGrant,
            response: RecordedResponse,
        ) = Unit

        override suspend fun release(grant: ClaimGrant) = Unit
    }

    /** Publishes only the first complete configuration and ignores later ones. */
    private class FirstConfiguration(
        source: ConfigurationSource,
    ) : ConfigurationSource {
        override val current: StateFlow<Configuration?> =
            source.current
                .filterNotNull()
                .take(1)
                .stateIn(GlobalScope, SharingStarted.Eagerly, null)

        override val isolated: StateFlow<Boolean> = source.isolated
    }

    /** Permits every order with one fencing token, regardless of the lease holder. */
    private object PermissiveGuard : LeaseGuard {
        override val heldToken: StateFlow<FencingToken?> = MutableStateFlow(FencingToken(1))

        override fun heldFor(): Duration = Duration.INFINITE

        override fun authorize(longestCall: Duration): FencingToken = FencingToken(1)
    }
}
