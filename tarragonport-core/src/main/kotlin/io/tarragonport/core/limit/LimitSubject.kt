package io.tarragonport.core.limit

import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId

/** What a limit applies to: an organisation, or one of its keys if [key] is set. */
data class LimitSubject(
    val organisation: OrganisationId,
    val key: KeyId? = null,
) {
    override fun toString(): String = if (key == null) "organisation $organisation" else "key $key"
}
