package io.tarragonport.api.peer

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message between VMs. */
@Serializable
sealed interface PeerMessage {
    /** Checks whether the receiver is alive; [sequence] is returned in the [ProbeAnswer]. */
    @Serializable
    @SerialName("p")
    data class Probe(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val sender: MemberUpdate,
        @CborLabel(3) val gossip: Gossip = Gossip(),
    ) : PeerMessage

    /** Acknowledges a [Probe]. */
    @Serializable
    @SerialName("pa")
    data class ProbeAnswer(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val sender: MemberUpdate,
        @CborLabel(3) val gossip: Gossip = Gossip(),
    ) : PeerMessage

    /** Asks the receiver to probe [target] at [address] on behalf of the sender. */
    @Serializable
    @SerialName("i")
    data class IndirectProbe(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val target: VmId,
        @CborLabel(3) val address: String,
    ) : PeerMessage

    /** Informs the sender of an [IndirectProbe] that [target] acknowledged the probe. */
    @Serializable
    @SerialName("ia")
    data class IndirectAnswer(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val target: MemberUpdate,
    ) : PeerMessage

    /** Requests all members. */
    @Serializable
    @SerialName("s")
    data class StateRequest(
        @CborLabel(1) val sender: MemberUpdate,
    ) : PeerMessage

    /** Response to a [StateRequest]: all members in the sender's view. */
    @Serializable
    @SerialName("sa")
    data class StateAnswer(
        @CborLabel(1) val members: List<MemberUpdate>,
        @CborLabel(2) val versions: List<Long> = emptyList(),
    ) : PeerMessage

    /** Requests the newest text of [section]. */
    @Serializable
    @SerialName("c")
    data class SectionRequest(
        @CborLabel(1) val section: SectionName,
    ) : PeerMessage

    /** Response to a [SectionRequest]: the newest text of [section] that the sender has. */
    @Serializable
    @SerialName("ca")
    data class SectionAnswer(
        @CborLabel(1) val section: SectionName,
        @CborLabel(2) val version: ObjectVersion,
        @CborLabel(3) val text: String,
    ) : PeerMessage

    /** Reports demand under limits for which the receiver is the aggregator. */
    @Serializable
    @SerialName("l")
    data class LimitReport(
        @CborLabel(1) val entries: List<LimitDemand>,
    ) : PeerMessage

    /** Response to a [LimitReport]: the shares granted to its sender. */
    @Serializable
    @SerialName("la")
    data class LimitShare(
        @CborLabel(1) val entries: List<LimitGrant>,
    ) : PeerMessage

    /** Asks the owner of an intent bucket to commit [operation], which is encoded in JSON. */
    @Serializable
    @SerialName("n")
    data class IntentCommit(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val operation: String,
    ) : PeerMessage

    /**
     * Response to an [IntentCommit] of [attempt] with the durable [outcome] in JSON; null if the sender of the request
     * must commit the operation itself.
     */
    @Serializable
    @SerialName("na")
    data class IntentCommitted(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val attempt: String,
        @CborLabel(3) val outcome: String? = null,
    ) : PeerMessage

    /** Crashes that the receiver must record before the requests involved run again; it acknowledges [sequence]. */
    @Serializable
    @SerialName("x")
    data class CrashAnnouncement(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) @SerialName("sightings") val crashes: List<CrashRecord>,
    ) : PeerMessage

    /** Acknowledges that the [CrashAnnouncement] with this [sequence] was recorded. */
    @Serializable
    @SerialName("xa")
    data class CrashAcknowledgement(
        @CborLabel(1) val sequence: Long,
    ) : PeerMessage

    /**
     * Announces the active [configuration] of a gateway, its [address] for peer messages, and the latest [era] of the
     * object store that it has seen.
     */
    @Serializable
    @SerialName("gs")
    data class GatewayState(
        @CborLabel(1) val configuration: ConfigurationVersion,
        @CborLabel(2) val address: String,
        @CborLabel(3) val era: StoreEra? = null,
    ) : PeerMessage

    /**
     * Requests a copy of the data that the receiver has read from the object store; the response is sent to [address].
     * It contains the entries of backend servers only if [withServers].
     */
    @Serializable
    @SerialName("gq")
    data class GatewaySnapshotRequest(
        @CborLabel(1) val address: String,
        @CborLabel(2) val withServers: Boolean = true,
    ) : PeerMessage

    /**
     * Changes of backend servers' entries in the store's [era] that a VM has just learnt of, which the receiver passes on
     * if they are new.
     */
    @Serializable
    @SerialName("gc")
    data class GatewayServerChanges(
        @CborLabel(1) val changes: List<ServerEntryChange>,
        @CborLabel(2) val era: StoreEra? = null,
    ) : PeerMessage

    /**
     * Crashes of backend servers and later successes of requests in flight at them, which the receiver passes on if
     * they are new.
     */
    @Serializable
    @SerialName("gx")
    data class GatewayCrashes(
        @CborLabel(1) val crashes: List<CrashRecord>,
        @CborLabel(2) val successes: List<SuccessRecord> = emptyList(),
    ) : PeerMessage

    /** Data that a gateway has read from the object store: the [configuration] and the entries of backend servers. */
    @Serializable
    @SerialName("ga")
    data class GatewaySnapshot(
        @CborLabel(1) val configuration: String,
        @CborLabel(2) val servers: Map<String, String>,
    ) : PeerMessage

    /** Load of the sender at backend servers, plus the load of the VMs whose reports it relays. */
    @Serializable
    @SerialName("gl")
    data class VmLoadReport(
        @CborLabel(1) val loads: List<ServerLoadShare>,
    ) : PeerMessage

    /** Load of the sender at servers whose load the receiver keeps. */
    @Serializable
    @SerialName("gu")
    data class ServerLoadUpdate(
        @CborLabel(1) val loads: List<ServerLoadShare>,
    ) : PeerMessage

    /** Asks for the load of the other VMs at [servers]; [sequence] is returned in the [ServerLoadAnswer]. */
    @Serializable
    @SerialName("gr")
    data class ServerLoadRequest(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val servers: List<BackendServerId>,
    ) : PeerMessage

    /** Response to a [ServerLoadRequest]: the load of all VMs except the receiver. */
    @Serializable
    @SerialName("gw")
    data class ServerLoadAnswer(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val loads: List<ServerLoadShare>,
    ) : PeerMessage

    /** Total load of all VMs except the receiver at backend servers. */
    @Serializable
    @SerialName("go")
    data class AggregateLoad(
        @CborLabel(1) val loads: List<ServerLoadShare>,
    ) : PeerMessage
}
