package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.gateway.route.ActiveConfiguration
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.wire.ConfigurationDecoder

/**
 * Applies each newer version of the configuration; a version older than the active one is never applied.
 *
 * Deleting the object has no effect on the active configuration, because operators replace the object and do not delete
 * it.
 */
internal class ConfigurationUpdater(
    private val log: ControlLog,
    private val apply: (ActiveConfiguration) -> Unit,
) : ObjectListener {
    /** The active configuration, or null before the first one. */
    var active: ActiveConfiguration? = null
        private set

    /** The active configuration as stored in the object store. */
    var activeText: String? = null
        private set

    override fun onListing(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
        revision: ObjectVersion,
    ) = objects.forEach(::onChange)

    override fun onChange(entry: ObjectEntry) {
        val value = entry.value
        if (entry.name == ConfigurationDecoder.NAME && value != null) applyIfNewer(value)
    }

    override fun storeLost() = Unit

    override fun storeRegained() = Unit

    override fun storeRestored() = Unit

    override fun storeRecovered() = Unit

    /** Applies the configuration [value] if it is newer than the active one. */
    fun applyIfNewer(value: String) {
        if (value == activeText) return
        ConfigurationDecoder.decode(value).fold(
            { reason -> log.event(GatewayEvents.CONFIGURATION_REJECTED, "reason" to reason) },
            { content ->
                val previous = active?.content?.version
                if (previous != null && content.version <= previous) return
                val next = ActiveConfiguration(content)
                active = next
                activeText = value
                log.event(
                    GatewayEvents.CONFIGURATION_APPLIED,
                    "version" to content.version,
                    "before" to previous,
                    "routes" to content.routes.size,
                )
                apply(next)
            },
        )
    }
}
