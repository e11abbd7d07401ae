package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.wire.ServerDecoder
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps the registered backend servers and hands each change to [apply]. */
internal class ServerFollower(
    private val registry: ServerRegistry,
    private val log: ControlLog,
    private val apply: (List<RegisteredServer>) -> Unit,
) : KindFollower {
    private val texts = mutableMapOf<String, String>()
    private var listedByStore = false

    /** The entries as the store has them, by name. */
    val entries: Map<String, String> get() = texts.toMap()

    /** The servers that are registered now. */
    val known: List<RegisteredServer> get() = registry.servers.toList()

    override fun listed(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
    ) {
        listedByStore = true
        texts.clear()
        objects.forEach { entry -> entry.value?.let { texts[entry.name] = it } }
        val servers = objects.mapNotNull(::decode)
        registry.replace(servers, afterOutage)
        log.event(GatewayEvents.SERVERS_LISTED, "servers" to servers.size, "after_outage" to afterOutage)
        publish()
    }

    override fun changed(entry: ObjectEntry) {
        if (entry.deleted) texts -= entry.name else entry.value?.let { texts[entry.name] = it }
        if (entry.deleted) {
            val id = BackendServerId(entry.name.removePrefix(ServerDecoder.PREFIX))
            registry.remove(id)
            log.event(GatewayEvents.SERVER_GONE, "server" to id, "version" to entry.version)
        } else {
            val server = decode(entry) ?: return
            registry.put(server)
            log.event(GatewayEvents.SERVER_ADDED, "server" to server, "version" to entry.version)
        }
        publish()
    }

    /** Takes the entries that another VM knows, as long as the store has not listed them to this one. */
    fun adopt(known: Map<String, String>) {
        if (listedByStore || known.isEmpty()) return
        val servers = known.mapNotNull { (name, value) -> decode(ObjectEntry(name, ObjectVersion.NONE, value)) }
        registry.replace(servers, afterOutage = false)
        log.event(GatewayEvents.SERVERS_ADOPTED, "servers" to servers.size)
        publish()
    }

    override fun storeRecovered() = registry.storeRecovered()

    /** Removes entries that did not return after an outage. */
    suspend fun expireMissing() {
        while (true) {
            delay(if (registry.hasMissingServers) EXPIRY_INTERVAL else IDLE_INTERVAL)
            val gone = registry.expire()
            gone.forEach { log.event(GatewayEvents.SERVER_GONE, "server" to it, "reason" to "missing after an outage") }
            if (gone.isNotEmpty()) publish()
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

        /** A quarter of the time that a lapsed entry has to return: wakes an idle process seldom. */
        val IDLE_INTERVAL: Duration = 500.milliseconds
    }
}
