package io.tarragonport.api.configuration

import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import kotlinx.serialization.Serializable

/** A limit over all VMs for an organisation, or for one of its keys if [key] is set; null means unlimited. */
@Serializable
data class Limit(
    val organisation: OrganisationId,
    val key: KeyId? = null,
    val requestsPerMinute: Long? = null,
    val tokensPerMinute: Long? = null,
)
