package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.peer.ServerEntryChange
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.gateway.registry.EntryVersions
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.wire.Evacuations

/**
 * Maintains the failure domains whose evacuation the operator requests and passes them to [apply] after each change.
 *
 * Changes are passed on to other VMs, most of which watch the object store with a lag. The domains stay evacuated while
 * the object store is away.
 */
internal class EvacuationUpdater(
    private val log: ControlLog,
    private val passOn: (ServerEntryChange) -> Unit,
    private val apply: (Set<FailureDomainId>) -> Unit,
) : ObjectListener {
    private val versions = EntryVersions()
    private var domains: Set<FailureDomainId> = emptySet()

    override fun onListing(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
        revision: ObjectVersion,
    ) {
        versions.listed(objects, revision)
        update(objects.map { Evacuations.domain(it.name) }.toSet())
    }

    override fun onChange(entry: ObjectEntry) {
        if (!versions.accept(entry)) return
        passOn(ServerEntryChange(entry.name, entry.version, if (entry.deleted) null else entry.value.orEmpty()))
        val domain = Evacuations.domain(entry.name)
        update(if (entry.deleted) domains - domain else domains + domain)
    }

    /** Applies changes that another VM has seen, unless they are already known here. */
    fun onPeerChanges(changes: List<ServerEntryChange>) =
        changes.forEach { onChange(ObjectEntry(it.name, it.version, it.value, deleted = it.value == null)) }

    override fun storeLost() = Unit

    override fun storeRegained() = Unit

    override fun storeRestored() = versions.reset()

    override fun storeRecovered() = Unit

    private fun update(current: Set<FailureDomainId>) {
        if (current == domains) return
        log.event(GatewayEvents.DOMAINS_EVACUATED, "domains" to current, "before" to domains)
        domains = current
        apply(current)
    }
}
