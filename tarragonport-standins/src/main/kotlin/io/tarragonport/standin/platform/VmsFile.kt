package io.tarragonport.standin.platform

import io.tarragonport.api.platform.ListedVm
import kotlinx.serialization.Serializable

/** Content of the `--vms` file and body of `PUT /control/vms`. */
@Serializable
data class VmsFile(
    val vms: List<ListedVm> = emptyList(),
)
