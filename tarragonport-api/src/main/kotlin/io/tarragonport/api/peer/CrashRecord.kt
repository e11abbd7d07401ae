package io.tarragonport.api.peer

import io.tarragonport.api.id.BackendServerId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A request with [fingerprint] was in flight on [server] when it crashed, [ageMs] before this message. */
@Serializable
data class CrashRecord(
    @CborLabel(1) val fingerprint: String,
    @CborLabel(2) val server: BackendServerId,
    @CborLabel(3) val ageMs: Long = 0,
)
