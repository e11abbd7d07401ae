package io.tarragonport.api.status

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable

/**
 * What a VM reports about itself, stored as the object `status/` followed by the VM's id.
 *
 * [writtenAt] is ISO 8601. Counters in [classes] run from process start. [leases] are those held when the report was
 * written.
 */
@Serializable
data class VmStatus(
    val vm: VmId,
    val incarnation: Incarnation,
    val region: RegionId,
    val failureDomain: FailureDomainId,
    val callerAddress: String,
    val writtenAt: String,
    val ready: Boolean,
    val draining: Boolean,
    val isolated: Boolean,
    val liveVms: Int,
    val sections: Map<SectionName, ObjectVersion>,
    val classes: List<ClassStatus>,
    val servers: List<ServerReport>,
    val leases: List<LeaseStatus>,
) {
    companion object {
        /** Common prefix of the names of status objects. */
        const val OBJECT_PREFIX = "status/"
    }
}
