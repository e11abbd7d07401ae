package io.tarragonport.standin.platform

import io.tarragonport.api.id.FailureDomainId
import kotlinx.serialization.Serializable

/** Body of `PUT /control/restore`: allows servers to be started in the failure domain again. */
@Serializable
data class RestoreRequest(
    val failureDomain: FailureDomainId,
)
