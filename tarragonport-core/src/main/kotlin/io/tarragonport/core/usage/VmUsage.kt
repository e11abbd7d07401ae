package io.tarragonport.core.usage

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Content of the usage object of one process.
 *
 * [objectNumber] is 0, or higher if an object of this process was deleted because the process counted as dead.
 * [writtenAt] is in milliseconds since the epoch. If [ended], the process counts no further usage.
 */
@Serializable
data class VmUsage(
    val vm: VmId,
    val incarnation: Incarnation,
    @SerialName("part") val objectNumber: Int = 0,
    val writtenAt: Long,
    val ended: Boolean = false,
    val organisations: Map<OrganisationId, OrganisationUsage> = emptyMap(),
) {
    /** Name of the object. */
    val name: String get() = UsageNames.vm(vm, incarnation, objectNumber)

    /** True if no total is below that of [earlier]. */
    fun covers(earlier: VmUsage): Boolean =
        earlier.organisations.all { (organisation, counts) ->
            val total = organisations[organisation]?.total ?: UsageTotals.ZERO
            total.covers(counts.total)
        }
}
