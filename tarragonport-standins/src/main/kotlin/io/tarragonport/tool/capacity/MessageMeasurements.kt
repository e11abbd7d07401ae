package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import io.tarragonport.api.peer.LimitGrant
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.peer.MemberUpdate
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.core.configuration.SectionCodec
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.StoredResponse

/** Measures the size of peer messages, including the frame length, for several numbers of entries. */
class MessageMeasurements {
    fun measureAll(): List<Series> =
        listOf(
            series("StateAnswer", "members", listOf(7, 100, 410)) { stateAnswer(it) },
            series("LimitReport", "entries", listOf(1, 4, 16)) { size ->
                PeerMessage.LimitReport(List(size) { LimitDemand(organisation(it), null, 600, 200_000) })
            },
            series("LimitShare", "entries", listOf(1, 4, 16)) { size ->
                PeerMessage.LimitShare(List(size) { LimitGrant(organisation(it), null, 2_439, 2_439) })
            },
            series("IntentCommit of a response", "bytes of response", listOf(0, 100, 500, 1_000)) { intentCommit(it) },
            series("sections read by a joining VM", "organisations", listOf(10, 100, 650), JOIN_BYTES) {
                sectionBytes(it)
            },
        )

    private fun series(
        message: String,
        sizeUnit: String,
        sizes: List<Int>,
        compose: (Int) -> PeerMessage,
    ) = series("$message, size", sizeUnit, sizes, null) { encodedSize(compose(it)) }

    private fun series(
        mechanism: String,
        sizeUnit: String,
        sizes: List<Int>,
        bound: Double?,
        measure: (Int) -> Double,
    ) = Series(mechanism, "bytes", sizeUnit, sizes.map { Measurement(it, measure(it)) }, sizes.last(), bound)

    private fun stateAnswer(members: Int) =
        PeerMessage.StateAnswer(
            List(members, ::member),
            List(SectionName.ALL.size) {
                VERSION
            },
        )

    private fun intentCommit(responseBytes: Int): PeerMessage {
        val digest = IntentNames.digest(organisation(0), IDEMPOTENCY_KEY)
        val response = StoredResponse(200, "application/json", "A".repeat(responseBytes))
        val operation = IntentOperation.Finish(digest, "vm-100-$INCARNATION-1000", response)
        return PeerMessage.IntentCommit(1_000, WireJson.encodeToString(IntentOperation.serializer(), operation))
    }

    private fun sectionBytes(organisations: Int): Double =
        SectionCodec
            .split(
                SampleConfiguration.of(organisations),
            ).values
            .sumOf { it.encodeToByteArray().size }
            .toDouble()

    private fun encodedSize(message: PeerMessage): Double {
        val envelope = PeerEnvelope(VmId("vm-100"), Incarnation(INCARNATION), message)
        return (PeerCodec.encode(envelope).size + LENGTH_PREFIX_BYTES).toDouble()
    }

    private fun organisation(index: Int) = OrganisationId("organisation-${index + FIRST_ORGANISATION}")

    private fun member(index: Int): MemberUpdate {
        val address = "10.20.${index / 200}.${index % 200}"
        val domain = FailureDomainId("region-${index % 9}-${index % 3}")
        val details = MemberDetails("$address:7400", "$address:8080", RegionId("region-${index % 9}"), domain)
        return MemberUpdate(VmId("vm-$index"), Incarnation(INCARNATION + index), details = details)
    }

    private companion object {
        const val INCARNATION = 1_796_360_000_000L
        const val VERSION = 20_000_000L
        const val IDEMPOTENCY_KEY = "7f3c2a90-5d1e-4c55-9c86-0d51ab14f0aa"
        const val FIRST_ORGANISATION = 100
        const val LENGTH_PREFIX_BYTES = 4

        /** The daily traffic of 410 VMs at 3 KB/s each, divided by their 4,490 starts a day. */
        const val JOIN_BYTES = 3_000.0 * 410 * 86_400 / 4_490
    }
}
