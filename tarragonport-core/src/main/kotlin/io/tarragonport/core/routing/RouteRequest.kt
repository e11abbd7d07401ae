package io.tarragonport.core.routing

import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.estimate.LengthEstimate

/**
 * A request to route. [suspect] means that a server crashed while it was in flight, [long] that its class has long
 * output, so that it may not use the slots reserved for short requests.
 */
internal class RouteRequest(
    val request: PendingRequest,
    val estimate: LengthEstimate,
    val suspect: Boolean,
) {
    val long: Boolean
        get() = request.requestClass.longOutput

    /** Whether this request is excluded from some servers that others of its class may use. */
    val restricted: Boolean
        get() = suspect || request.failedServers.isNotEmpty()
}
