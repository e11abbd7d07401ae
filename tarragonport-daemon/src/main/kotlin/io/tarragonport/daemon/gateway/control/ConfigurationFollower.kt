package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.gateway.route.ActiveConfiguration
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.wire.ConfigurationDecoder

/**
 * Keeps the newest configuration in force; an older version than the one in force is never applied.
 *
 * A removed object leaves the configuration as it is: the operator replaces it and does not remove it.
 */
internal class ConfigurationFollower(
    private val log: ControlLog,
    private val apply: (ActiveConfiguration) -> Unit,
) : KindFollower {
    /** The configuration in force. */
    var inForce: ActiveConfiguration? = null
        private set

    /** The configuration in force as the store has it. */
    var text: String? = null
        private set

    override fun listed(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
    ) = objects.forEach(::changed)

    override fun changed(entry: ObjectEntry) {
        val value = entry.value
        if (entry.name == ConfigurationDecoder.NAME && value != null) take(value)
    }

    override fun storeRecovered() = Unit

    /** Takes the configuration [value] if it is newer than the one in force. */
    fun take(value: String) {
        ConfigurationDecoder.decode(value).fold(
            { reason -> log.event(GatewayEvents.CONFIGURATION_REJECTED, "reason" to reason) },
            { content ->
                val before = inForce?.content?.version
                if (before != null && content.version <= before) return
                val next = ActiveConfiguration(content)
                inForce = next
                text = value
                log.event(
                    GatewayEvents.CONFIGURATION_APPLIED,
                    "version" to content.version,
                    "before" to before,
                    "routes" to content.routes.size,
                )
                apply(next)
            },
        )
    }
}
