package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/**
 * Identifies a VM that runs the daemon; unique in the fleet, taken from the settings file and the platform's VM list.
 */
@Serializable
@JvmInline
value class VmId(
    val value: String,
) {
    override fun toString(): String = value
}
