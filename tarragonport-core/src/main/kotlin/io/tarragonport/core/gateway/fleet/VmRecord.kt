package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.core.store.EraSighting
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Record that a VM writes to the store every few seconds.
 *
 * [windows] has its request counts of the latest usage windows. Each count is a total, so a lost or repeated write does
 * no harm. [demand] is its load on each service. [crashes] lists the requests, by fingerprint, that were in flight when
 * a server dropped its connection. [heartbeat] is incremented with each write, and the next one follows after
 * [nextInMs] milliseconds. [highestToken] is the highest fencing token known to the VM, kept here because the store can
 * lose the lease object's latest content. For the same reason, [era] tells since when the store's era is known and
 * [finalCounts] holds the counts of recent windows that may have been reported.
 */
@Serializable
data class VmRecord(
    val vm: VmId,
    val incarnation: Incarnation,
    val peerAddress: String,
    @SerialName("beat") val heartbeat: Long,
    val windows: Map<Long, Map<OrganisationId, Long>>,
    val demand: Map<ServiceId, ServiceDemand>,
    val crashes: List<CrashRecord> = emptyList(),
    val nextInMs: Long = FleetIntervals.RECORD_INTERVAL.inWholeMilliseconds,
    val highestToken: FencingToken = FencingToken(0),
    val era: EraSighting? = null,
    val finalCounts: Map<Long, Map<OrganisationId, Long>> = emptyMap(),
)
