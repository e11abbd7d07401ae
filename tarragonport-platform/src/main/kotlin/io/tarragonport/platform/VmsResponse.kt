package io.tarragonport.platform

import io.tarragonport.api.platform.ListedVm
import kotlinx.serialization.Serializable

/** Response of `GET /vms`. */
@Serializable
data class VmsResponse(
    val vms: List<ListedVm>,
)
