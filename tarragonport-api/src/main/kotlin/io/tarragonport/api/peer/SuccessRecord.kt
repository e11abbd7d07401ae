package io.tarragonport.api.peer

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A request with [fingerprint] was answered [ageMs] before this message. */
@Serializable
data class SuccessRecord(
    @CborLabel(1) val fingerprint: String,
    @CborLabel(2) val ageMs: Long = 0,
)
