package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.status.ClassStatus
import io.tarragonport.api.status.VmStatus
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** The status objects of all VMs and the sums of their counters for each request class. */
@Serializable
class FleetStatus(
    val vms: List<VmStatus>,
    val classes: List<ClassStatus>,
) {
    companion object {
        /** Reads all status objects with one call; malformed ones are skipped. */
        suspend fun read(store: ObjectStore): Either<ClientError, FleetStatus> =
            either {
                val listing = store.list(VmStatus.OBJECT_PREFIX, withValues = true).mapLeft(::readError).bind()
                val vms = listing.objects.mapNotNull { entry -> entry.value?.let(::decode) }.sortedBy { it.vm.value }
                FleetStatus(vms, sumByClass(vms))
            }

        private fun decode(text: String): VmStatus? =
            try {
                WireJson.decodeFromString<VmStatus>(text)
            } catch (_: SerializationException) {
                null
            }

        private fun readError(error: PlatformError) =
            ClientError(
                ExitStatus.FAILURE,
                "cannot read the status of the VMs: " +
                    "no usable response from the platform: ${(error as? PlatformError.Unavailable)?.reason ?: error}",
            )

        private fun sumByClass(vms: List<VmStatus>): List<ClassStatus> =
            vms
                .flatMap { it.classes }
                .groupBy { it.id }
                .map { (_, statuses) -> statuses.reduce(::add) }
                .sortedWith(compareBy({ it.tier }, { it.id.value }))

        private fun add(
            left: ClassStatus,
            right: ClassStatus,
        ) = left.copy(
            completed = left.completed + right.completed,
            inTime = left.inTime + right.inTime,
            refused = left.refused + right.refused,
            failed = left.failed + right.failed,
        )
    }
}
