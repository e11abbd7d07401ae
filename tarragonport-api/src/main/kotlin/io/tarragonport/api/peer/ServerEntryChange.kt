package io.tarragonport.api.peer

import io.tarragonport.api.id.ObjectVersion
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A change of a backend server's entry in the object store; [value] is null if the entry was deleted. */
@Serializable
data class ServerEntryChange(
    @CborLabel(1) val name: String,
    @CborLabel(2) val version: ObjectVersion,
    @CborLabel(3) val value: String?,
)
