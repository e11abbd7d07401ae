package io.tarragonport.core.usage

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable

/**
 * Content of the usage object of one process.
 *
 * [part] is 0, or higher if an object of this process was deleted while the process was taken for dead. [writtenAt] is
 * in milliseconds since the epoch. With [ended] the process counts nothing more.
 */
@Serializable
data class VmUsage(
    val vm: VmId,
    val incarnation: Incarnation,
    val part: Int = 0,
    val writtenAt: Long,
    val ended: Boolean = false,
    val organisations: Map<OrganisationId, OrganisationUsage> = emptyMap(),
) {
    /** Name of the object. */
    val name: String get() = UsageNames.vm(vm, incarnation, part)

    /** True if no total is below that of [earlier]. */
    fun covers(earlier: VmUsage): Boolean =
        earlier.organisations.all { (organisation, book) ->
            val total = organisations[organisation]?.total ?: UsageTotals.ZERO
            total.covers(book.total)
        }
}
