package io.tarragonport.client

import arrow.core.Either
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.status.DecisionTrace

/** Asks a VM for the decisions about a request. */
fun interface TraceClient {
    /**
     * The trace kept by the VM with [callerAddress] (`ip:port`), null if it keeps none; a left value tells why it did
     * not answer.
     */
    suspend fun trace(
        callerAddress: String,
        request: RequestId,
    ): Either<String, DecisionTrace?>
}
