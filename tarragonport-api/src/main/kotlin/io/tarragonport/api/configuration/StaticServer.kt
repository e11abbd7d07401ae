package io.tarragonport.api.configuration

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import kotlinx.serialization.Serializable

/** A backend server configured by operators; [address] is `http://ip:port`. */
@Serializable
data class StaticServer(
    val id: BackendServerId,
    val address: String,
    val failureDomain: FailureDomainId,
    val cheap: Boolean = false,
)
