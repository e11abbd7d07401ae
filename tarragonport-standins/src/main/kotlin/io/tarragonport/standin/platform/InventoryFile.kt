package io.tarragonport.standin.platform

import io.tarragonport.api.platform.InventoryServer
import kotlinx.serialization.Serializable

/**
 * Content of the file given with `--inventory`.
 *
 * A started server is listed as starting immediately and as live after [startDelayMs]. With [checksFencing] false the
 * interface accepts stale fencing tokens. [transfersPerMinute] is the rate limit of the weight store.
 */
@Serializable
data class InventoryFile(
    val servers: List<InventoryServer> = emptyList(),
    val spares: List<SpareServer> = emptyList(),
    val startDelayMs: Long = 5_000,
    val checksFencing: Boolean = true,
    val transfersPerMinute: Int = 60,
)
