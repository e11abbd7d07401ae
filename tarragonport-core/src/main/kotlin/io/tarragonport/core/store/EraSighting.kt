package io.tarragonport.core.store

import io.tarragonport.api.id.StoreEra
import kotlinx.serialization.Serializable

/** The wall-clock time, in milliseconds since 1970, at which a VM first received a response of [era]. */
@Serializable
data class EraSighting(
    val era: StoreEra,
    val atMs: Long,
)
