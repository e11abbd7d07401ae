package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.RecentListing
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlin.time.Duration

/**
 * Reads the records of all VMs.
 *
 * Every VM reads them at each [interval] from a low-cost listing that may be stale. The lease holder also calls
 * [refresh] before it performs its duties, which reads a current listing.
 */
internal class FleetLoop(
    private val prefix: String,
    private val store: ObjectStore,
    private val recentListing: RecentListing,
    private val recordTable: VmRecordTable,
    private val log: ControlLog,
    private val interval: () -> Duration,
    private val onUpdate: (live: List<VmRecord>) -> Unit,
) {
    private var previousLiveCount = 0
    private var versions: Map<String, ObjectVersion> = emptyMap()

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            recentListing.listRecent(prefix).onRight(::update)
            delay(interval())
        }
    }

    /** Reads the current records; false if the object store did not respond. */
    suspend fun refresh(): Boolean = store.list(prefix, withValues = true).onRight(::update).isRight()

    /** Deletes a few records of VMs that ended long ago; called by the lease holder only. */
    suspend fun prune() =
        recordTable.expiredNames().take(MAXIMUM_PRUNED_PER_RUN).forEach { name ->
            val version = versions[name] ?: return@forEach
            store.delete(name, version).fold(
                { error -> log.event(GatewayEvents.PRUNING_FAILED, "object" to name, "error" to error) },
                { log.event(GatewayEvents.PRUNED, "object" to name) },
            )
        }

    private fun update(listing: ObjectListing) {
        versions = listing.objects.associate { it.name to it.version }
        recordTable.update(
            listing.objects
                .mapNotNull { entry ->
                    decode(entry.value)?.let { entry.name to it }
                }.toMap(),
        )
        val live = recordTable.live()
        if (live.size != previousLiveCount) {
            log.event(GatewayEvents.PEERS_CHANGED, "live" to live.size, "before" to previousLiveCount)
            previousLiveCount = live.size
        }
        onUpdate(live)
    }

    private fun decode(value: String?): VmRecord? =
        try {
            value?.let { WireJson.decodeFromString(VmRecord.serializer(), it) }
        } catch (exception: SerializationException) {
            log.event(GatewayEvents.RECORD_FAILED, "error" to exception.message)
            null
        }

    private companion object {
        /**
         * With a run every two seconds, this is one call a second. A fleet of 410 VMs with 4,300 restarts a day leaves
         * three outdated records a minute.
         */
        const val MAXIMUM_PRUNED_PER_RUN = 2
    }
}
