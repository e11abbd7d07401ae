package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.peer.ServerEntryChange
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.gateway.registry.EntryVersions
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.wire.ServerDecoder
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Maintains the list of registered backend servers and passes it to [apply] after each change. */
internal class ServerListUpdater(
    private val registry: ServerRegistry,
    private val log: ControlLog,
    private val passOn: (ServerEntryChange) -> Unit = {},
    private val apply: (List<RegisteredServer>) -> Unit,
) : ObjectListener {
    private val entryValues = mutableMapOf<String, String>()
    private val versions = EntryVersions()
    private var listingReceived = false
    private var storeAway = false

    /** The valid entries as stored in the object store, by name. */
    val entries: Map<String, String> get() = entryValues.toMap()

    /** The servers that are currently registered. */
    val registered: List<RegisteredServer> get() = registry.servers.toList()

    override fun onListing(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
        revision: ObjectVersion,
    ) {
        listingReceived = true
        versions.listed(objects, revision)
        entryValues.clear()
        val servers =
            objects.mapNotNull { entry ->
                decode(entry)?.also { entryValues[entry.name] = entry.value.orEmpty() }
            }
        registry.replace(servers, afterOutage)
        log.event(GatewayEvents.SERVERS_LISTED, "servers" to servers.size, "after_outage" to afterOutage)
        publish()
    }

    override fun onChange(entry: ObjectEntry) {
        if (versions.accept(entry)) applyChange(entry)
    }

    /**
     * Applies changes that another VM has seen, unless they are already known here. Deletions are left to the own watch
     * while the object store is away, because entries that expire then may return.
     */
    fun onPeerChanges(changes: List<ServerEntryChange>) {
        if (!listingReceived) return
        changes.forEach { change ->
            val entry = ObjectEntry(change.name, change.version, change.value, deleted = change.value == null)
            if (!(storeAway && entry.deleted) && versions.accept(entry)) applyChange(entry)
        }
    }

    private fun applyChange(entry: ObjectEntry) {
        if (entry.deleted) {
            entryValues -= entry.name
            passOn(ServerEntryChange(entry.name, entry.version, value = null))
            val id = BackendServerId(entry.name.removePrefix(ServerDecoder.PREFIX))
            registry.remove(id)
            log.event(GatewayEvents.SERVER_GONE, "server" to id, "version" to entry.version)
        } else {
            val server = decode(entry) ?: return
            entryValues[entry.name] = entry.value.orEmpty()
            passOn(ServerEntryChange(entry.name, entry.version, entry.value))
            registry.put(server)
            log.event(GatewayEvents.SERVER_ADDED, "server" to server, "version" to entry.version)
        }
        publish()
    }

    /** Uses the entries sent by another VM, unless this VM has already received a listing from the object store. */
    fun adopt(peerEntries: Map<String, String>) {
        if (listingReceived || peerEntries.isEmpty()) return
        val servers = peerEntries.mapNotNull { (name, value) -> decode(ObjectEntry(name, ObjectVersion.NONE, value)) }
        registry.replace(servers, afterOutage = false)
        log.event(GatewayEvents.SERVERS_ADOPTED, "servers" to servers.size)
        publish()
    }

    override fun storeLost() {
        storeAway = true
    }

    override fun storeRegained() {
        storeAway = false
    }

    override fun storeRestored() {
        versions.reset()
        registry.storeRestored()
    }

    override fun storeRecovered() = registry.storeRecovered()

    /** Removes entries that have not reappeared within the grace period after an outage; runs until cancelled. */
    suspend fun expireMissing() {
        while (true) {
            delay(if (registry.hasMissingServers) EXPIRY_INTERVAL else IDLE_INTERVAL)
            val expired = registry.expire()
            expired.forEach {
                log.event(
                    GatewayEvents.SERVER_GONE,
                    "server" to it,
                    "reason" to "missing after an outage",
                )
            }
            if (expired.isNotEmpty()) publish()
        }
    }

    private fun publish() = apply(registry.servers.toList())

    private fun decode(entry: ObjectEntry): RegisteredServer? =
        ServerDecoder.decode(entry.name, entry.value.orEmpty()).fold(
            { reason ->
                log.event(GatewayEvents.SERVER_REJECTED, "entry" to entry.name, "reason" to reason)
                null
            },
            { it },
        )

    private companion object {
        val EXPIRY_INTERVAL: Duration = 100.milliseconds

        /** A quarter of the grace period of a missing entry, so that an idle process wakes up rarely. */
        val IDLE_INTERVAL: Duration = 500.milliseconds
    }
}
