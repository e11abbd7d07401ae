package io.tarragonport.standin.platform

import io.tarragonport.api.id.FailureDomainId
import kotlinx.serialization.Serializable

/**
 * A server that a start order can add to the inventory.
 *
 * The order only lists the server; a backend server stand-in must already listen at [address].
 */
@Serializable
data class SpareServer(
    val address: String,
    val failureDomain: FailureDomainId,
    val cheap: Boolean = false,
    val checksFencing: Boolean = true,
)
