package io.tarragonport.api.peer

import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Share of a limit that one VM may use, in millionths of the limit. If [distant], the demand of all VMs is far below the
 * limit: the share holds until its demand has grown much and needs no report every second.
 */
@Serializable
data class LimitGrant(
    @CborLabel(1) val organisation: OrganisationId,
    @CborLabel(2) val key: KeyId? = null,
    @CborLabel(3) val requestShare: Int = 0,
    @CborLabel(4) val tokenShare: Int = 0,
    @CborLabel(5) val distant: Boolean = false,
) {
    companion object {
        /** A share of the whole limit. */
        const val FULL_SHARE = 1_000_000
    }
}
