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

/** Reads the records of all VMs: often while this VM holds the duties, otherwise seldom and from a cheap listing. */
internal class FleetLoop(
    private val prefix: String,
    private val store: ObjectStore,
    private val recent: RecentListing,
    private val view: VmRecordTable,
    private val log: ControlLog,
    private val interval: () -> Duration,
    private val changed: (live: List<VmRecord>) -> Unit,
) {
    private var liveBefore = 0
    private var versions: Map<String, ObjectVersion> = emptyMap()

    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            recent.listRecent(prefix).onRight(::take)
            delay(interval())
        }
    }

    /** Reads the newest records; false if the store did not answer. */
    suspend fun refresh(): Boolean = store.list(prefix, withValues = true).onRight(::take).isRight()

    /** Deletes some records of VMs that ended long ago; whoever holds the duties calls it. */
    suspend fun prune() =
        view.unchangedNames().take(PRUNED_AT_ONCE).forEach { name ->
            val version = versions[name] ?: return@forEach
            store.delete(name, version).fold(
                { error -> log.event(GatewayEvents.PRUNING_FAILED, "object" to name, "error" to error) },
                { log.event(GatewayEvents.PRUNED, "object" to name) },
            )
        }

    private fun take(listing: ObjectListing) {
        versions = listing.objects.associate { it.name to it.version }
        view.update(listing.objects.mapNotNull { entry -> decode(entry.value)?.let { entry.name to it } }.toMap())
        val live = view.live()
        if (live.size != liveBefore) {
            log.event(GatewayEvents.PEERS_CHANGED, "live" to live.size, "before" to liveBefore)
            liveBefore = live.size
        }
        changed(live)
    }

    private fun decode(value: String?): VmRecord? =
        try {
            value?.let { WireJson.decodeFromString(VmRecord.serializer(), it) }
        } catch (exception: SerializationException) {
            log.event(GatewayEvents.RECORD_FAILED, "error" to exception.message)
            null
        }

    private companion object {
        /** One call a second of the holder's; a fleet of 410 VMs with 4,300 restarts a day makes three an hour. */
        const val PRUNED_AT_ONCE = 2
    }
}
