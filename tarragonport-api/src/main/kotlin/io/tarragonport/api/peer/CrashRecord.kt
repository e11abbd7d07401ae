package io.tarragonport.api.peer

import io.tarragonport.api.id.BackendServerId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A request with [fingerprint] was in flight on [server] when the server crashed, [ageMs] before this message.
 *
 * [id] is the same in all copies of the record; 0 if it has none. The age becomes less exact with each VM that passes
 * the record on.
 */
@Serializable
data class CrashRecord(
    @CborLabel(1) val fingerprint: String,
    @CborLabel(2) val server: BackendServerId,
    @CborLabel(3) val ageMs: Long = 0,
    @CborLabel(4) val id: Long = 0,
)
