package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.ServiceRequest
import io.tarragonport.api.backend.ServiceResponse
import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.daemon.usage.UsageMeter

/** Calls a plain service; [interruptible] is false for calls that must not be repeated. */
class ServiceTask(
    private val serviceRequest: ServiceRequest,
    private val client: BackendServerClient,
    private val usage: UsageMeter,
    override val interruptible: Boolean,
) : RequestTask {
    /** The service's response; set on completion. */
    var response: ServiceResponse? = null
        private set

    override val receivedTokens: Int = 0
    override val deliveredTokens: Int = 0

    override suspend fun runOn(
        address: String,
        request: PendingRequest,
        attempt: Int,
    ): AttemptResult =
        client.call(address, serviceRequest).fold({ BackendFailures.result(it) }) {
            response = it
            usage.add(request.organisation, 0, 0, 1)
            AttemptResult.Completed
        }

    /** Plain services have no cancel call; closing the connection is sufficient. */
    override suspend fun cancel(
        address: String,
        request: PendingRequest,
        attempt: Int,
    ) = Unit

    /** Crashes are detected for model engines only. */
    override suspend fun hasCrashed(address: String): Boolean = false

    override fun restart() = Unit
}
