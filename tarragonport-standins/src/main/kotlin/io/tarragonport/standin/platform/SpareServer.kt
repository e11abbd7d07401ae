package io.tarragonport.standin.platform

import io.tarragonport.api.id.FailureDomainId
import kotlinx.serialization.Serializable

/** An address for a server that an order starts; a backend server stand-in must listen there. */
@Serializable
data class SpareServer(
    val address: String,
    val failureDomain: FailureDomainId,
    val cheap: Boolean = false,
    val checksFencing: Boolean = true,
)
