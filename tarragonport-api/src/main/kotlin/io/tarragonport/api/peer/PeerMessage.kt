package io.tarragonport.api.peer

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message between VMs. */
@Serializable
sealed interface PeerMessage {
    /** Asks whether the receiver is alive; [sequence] comes back in the answer. */
    @Serializable
    @SerialName("p")
    data class Probe(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val sender: MemberUpdate,
        @CborLabel(3) val gossip: Gossip = Gossip(),
    ) : PeerMessage

    /** Answers a [Probe]. */
    @Serializable
    @SerialName("pa")
    data class ProbeAnswer(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val sender: MemberUpdate,
        @CborLabel(3) val gossip: Gossip = Gossip(),
    ) : PeerMessage

    /** Asks the receiver to probe [target] at [address] for the sender. */
    @Serializable
    @SerialName("i")
    data class IndirectProbe(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val target: VmId,
        @CborLabel(3) val address: String,
    ) : PeerMessage

    /** Tells the sender of an [IndirectProbe] that the [target] answered. */
    @Serializable
    @SerialName("ia")
    data class IndirectAnswer(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val target: MemberUpdate,
    ) : PeerMessage

    /** Asks for all members. */
    @Serializable
    @SerialName("s")
    data class StateRequest(
        @CborLabel(1) val sender: MemberUpdate,
    ) : PeerMessage

    /** All members that the sender knows. */
    @Serializable
    @SerialName("sa")
    data class StateAnswer(
        @CborLabel(1) val members: List<MemberUpdate>,
        @CborLabel(2) val versions: List<Long> = emptyList(),
    ) : PeerMessage

    /** Asks for the newest text of [section]. */
    @Serializable
    @SerialName("c")
    data class SectionRequest(
        @CborLabel(1) val section: SectionName,
    ) : PeerMessage

    /** The newest text that the sender has of [section]. */
    @Serializable
    @SerialName("ca")
    data class SectionAnswer(
        @CborLabel(1) val section: SectionName,
        @CborLabel(2) val version: ObjectVersion,
        @CborLabel(3) val text: String,
    ) : PeerMessage

    /** Demand under limits whose organisations the receiver aggregates. */
    @Serializable
    @SerialName("l")
    data class LimitReport(
        @CborLabel(1) val entries: List<LimitDemand>,
    ) : PeerMessage

    /** Shares for the sender of a [LimitReport]. */
    @Serializable
    @SerialName("la")
    data class LimitShare(
        @CborLabel(1) val entries: List<LimitGrant>,
    ) : PeerMessage

    /** Asks the owner of an intent bucket to commit [operation], an operation in JSON. */
    @Serializable
    @SerialName("n")
    data class IntentCommit(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val operation: String,
    ) : PeerMessage

    /**
     * Answers an [IntentCommit] of [attempt] with the durable [outcome] in JSON; null if the sender must commit the
     * operation itself.
     */
    @Serializable
    @SerialName("na")
    data class IntentCommitted(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val attempt: String,
        @CborLabel(3) val outcome: String? = null,
    ) : PeerMessage

    /** Crashes that the receiver must know of before their requests run again; it answers with the [sequence]. */
    @Serializable
    @SerialName("x")
    data class CrashAnnouncement(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val sightings: List<CrashRecord>,
    ) : PeerMessage

    /** The sender took over the [CrashAnnouncement] of this [sequence]. */
    @Serializable
    @SerialName("xa")
    data class CrashAcknowledgement(
        @CborLabel(1) val sequence: Long,
    ) : PeerMessage

    /** Tells which [configuration] a gateway has in force and where it takes messages. */
    @Serializable
    @SerialName("gs")
    data class GatewayState(
        @CborLabel(1) val configuration: ConfigurationVersion,
        @CborLabel(2) val address: String,
    ) : PeerMessage

    /** Asks a gateway at [address] for what it knows of the store; the answer goes to that address. */
    @Serializable
    @SerialName("gq")
    data class GatewaySnapshotRequest(
        @CborLabel(1) val address: String,
    ) : PeerMessage

    /** What a gateway knows of the store: the [configuration] and the entries of backend servers as the store had them. */
    @Serializable
    @SerialName("ga")
    data class GatewaySnapshot(
        @CborLabel(1) val configuration: String,
        @CborLabel(2) val servers: Map<String, String>,
    ) : PeerMessage

    /** What the sender has at backend servers, with that of the VMs whose reports it passes on. */
    @Serializable
    @SerialName("gl")
    data class VmLoadReport(
        @CborLabel(1) val loads: List<ServerLoadShare>,
    ) : PeerMessage

    /** What all VMs but the receiver have at backend servers. */
    @Serializable
    @SerialName("go")
    data class AggregateLoad(
        @CborLabel(1) val loads: List<ServerLoadShare>,
    ) : PeerMessage
}
