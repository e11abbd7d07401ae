package io.tarragonport.core.gateway.scaling

/** Numbers of servers that one failure domain is to have. */
data class WantedCounts(
    val ordinary: Int,
    val cheap: Int,
)
