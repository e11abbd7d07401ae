package io.tarragonport.api.status

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import kotlinx.serialization.Serializable

/** A backend server in the view of one VM. */
@Serializable
data class ServerReport(
    val id: BackendServerId,
    val pool: PoolId,
    val failureDomain: FailureDomainId,
    val cheap: Boolean,
    val leaving: Boolean,
)
