package io.tarragonport.core.placement

/**
 * Number of servers by kind; [surviving] ordinary ones must remain after the loss of the failure domain that has most
 * of them.
 */
data class WantedServers(
    val ordinary: Int,
    val cheap: Int,
    val surviving: Int = 0,
) {
    val total: Int get() = ordinary + cheap

    fun of(kind: CapacityKind): Int = if (kind == CapacityKind.CHEAP) cheap else ordinary
}
