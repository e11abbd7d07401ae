package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId

/** Counts requests sent to services and requests that started to run there. */
internal interface UsageRecorder {
    /** A backend server started to run a request of [organisation]. */
    fun requestStarted(organisation: OrganisationId)

    /** A request was sent to [service]; its engine has to process [tokens] prompt tokens, those not in its cache. */
    fun requestSent(
        service: ServiceId,
        tokens: Int,
    )

    /** A request sent to [service] ended. */
    fun requestEnded(service: ServiceId)
}
