package io.tarragonport.api.status

import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable

/** The decisions about one request on one VM, oldest first; the response of `GET /operator/explain/{requestId}`. */
@Serializable
data class DecisionTrace(
    val request: RequestId,
    val vm: VmId,
    val steps: List<TraceStep>,
)
