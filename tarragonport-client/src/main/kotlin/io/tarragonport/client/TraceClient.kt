package io.tarragonport.client

import arrow.core.Either
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.status.DecisionTrace

/** Fetches the decisions about a request from a VM. */
fun interface TraceClient {
    /**
     * Returns the trace stored by the VM at [callerAddress] (`ip:port`), null if it has none; a left value is the
     * reason why the trace could not be fetched.
     */
    suspend fun trace(
        callerAddress: String,
        request: RequestId,
    ): Either<String, DecisionTrace?>
}
