package io.tarragonport.api.configuration

import io.tarragonport.api.id.KeyDigest
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestClassId
import kotlinx.serialization.Serializable

/** A caller's key, identified by its digest; a withdrawn key stays listed so that errors can state the reason. */
@Serializable
data class KeyRecord(
    val id: KeyId,
    val digest: KeyDigest,
    val organisation: OrganisationId,
    val defaultClass: RequestClassId? = null,
    val withdrawn: Boolean = false,
)
