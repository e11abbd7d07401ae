package io.tarragonport.core.gateway.scaling

/** Wanted number of servers in one failure domain. */
data class WantedCounts(
    val ordinary: Int,
    val cheap: Int,
)
