package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId

/** Counts requests sent to services and requests that started to run there. */
internal interface UsageRecorder {
    /** A backend server started to run a request of [organisation]. */
    fun requestStarted(organisation: OrganisationId)

    /** A request was sent to [service] for which an engine has to process [tokens] prompt tokens. */
    fun requestSent(
        service: ServiceId,
        tokens: Int,
    )

    /** A request sent to [service] ended. */
    fun requestEnded(service: ServiceId)
}
