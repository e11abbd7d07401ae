package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.CrashRecord
import kotlinx.serialization.Serializable

/**
 * What a VM writes about itself every few seconds.
 *
 * [windows] holds its counts of the newest usage windows, each complete in itself, so that a write that is lost or
 * repeated changes nothing. [demand] is the load that it sends to each service, [crashes] are requests that it saw in
 * flight when a server broke off, by fingerprint. The next record follows after [nextInMs] milliseconds.
 */
@Serializable
data class VmRecord(
    val vm: VmId,
    val incarnation: Incarnation,
    val peerAddress: String,
    val beat: Long,
    val windows: Map<Long, Map<OrganisationId, Long>>,
    val demand: Map<ServiceId, ServiceDemand>,
    val crashes: List<CrashRecord> = emptyList(),
    val nextInMs: Long = FleetIntervals.RECORD_INTERVAL.inWholeMilliseconds,
)
