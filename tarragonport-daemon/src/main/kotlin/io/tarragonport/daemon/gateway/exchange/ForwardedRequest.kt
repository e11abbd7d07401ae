package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.gateway.ForwardingMetadata
import io.tarragonport.core.gateway.balance.ServerChoice
import io.tarragonport.core.gateway.route.RouteDecision
import io.tarragonport.daemon.gateway.egress.OutgoingRequest
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import kotlin.time.Duration

/** Builds the request that a server gets from that of a caller. */
internal object ForwardedRequest {
    private val ENGINE_PRIORITY_RANGE = 0..9

    /**
     * The request for the server of [choice], which has [remaining] time and goes on behind the event [resumeAfter], or
     * from the beginning if it is null.
     */
    fun of(
        request: CallerRequest,
        decision: RouteDecision.Serve,
        choice: ServerChoice,
        remaining: Duration,
        resumeAfter: String?,
    ): OutgoingRequest {
        val metadata =
            ForwardingMetadata(
                server = choice.server.registered.id,
                remaining = remaining,
                organisation = decision.organisation,
                enginePriority = request.metadata.prompt?.let { decision.priority.coerceIn(ENGINE_PRIORITY_RANGE) },
                resumeAfter = resumeAfter,
                fetchFrom = choice.fetchFrom?.registered?.address,
            )
        val headers = ForwardedHeaders.toServer(request, metadata)
        headers.set("Host", request.host)
        return OutgoingRequest(request.metadata.requestId, request.method, request.target, headers, request.body)
    }
}
