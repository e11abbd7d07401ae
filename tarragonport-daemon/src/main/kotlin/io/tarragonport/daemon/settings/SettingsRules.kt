package io.tarragonport.daemon.settings

import io.tarragonport.api.settings.ProcessSettings

/** Checks the values of daemon settings that have been parsed. */
internal object SettingsRules {
    private const val PLATFORM_SCHEME = "http://"

    /** One line per fault; empty if the settings are valid. */
    fun check(settings: ProcessSettings): List<String> =
        listOfNotNull(
            address("caller_address", settings.callerAddress),
            address("peer_address", settings.peerAddress),
            platformUrl(settings.platformUrl),
            notBlank("vm_id", settings.vmId.value),
            notBlank("region", settings.region.value),
            notBlank("failure_domain", settings.failureDomain.value),
            atLeast("drain_accept_ms", settings.drainAcceptMs, 0),
            atLeast("body_limit_bytes", settings.bodyLimitBytes, 1),
            atLeast("body_timeout_ms", settings.bodyTimeoutMs, 1),
            differentAddresses(settings),
        ) + settings.peerSeeds.mapIndexedNotNull { index, seed -> address("peer_seeds/$index", seed) }

    private fun address(
        field: String,
        value: String,
    ): String? = if (SocketAddress.parse(value) == null) "/$field: \"$value\" is not of the form ip:port" else null

    private fun platformUrl(value: String): String? {
        val valid =
            value.startsWith(PLATFORM_SCHEME) && SocketAddress.parse(value.removePrefix(PLATFORM_SCHEME)) != null
        return if (valid) null else "/platform_url: \"$value\" is not of the form http://ip:port"
    }

    private fun notBlank(
        field: String,
        value: String,
    ): String? = if (value.isBlank()) "/$field: must not be empty" else null

    private fun atLeast(
        field: String,
        value: Long,
        minimum: Long,
    ): String? = if (value < minimum) "/$field: $value is less than the minimum $minimum" else null

    private fun differentAddresses(settings: ProcessSettings): String? =
        if (settings.callerAddress == settings.peerAddress) "/peer_address: must differ from caller_address" else null
}
