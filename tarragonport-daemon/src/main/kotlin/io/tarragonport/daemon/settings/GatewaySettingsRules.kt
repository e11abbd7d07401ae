package io.tarragonport.daemon.settings

import io.tarragonport.api.settings.GatewaySettings

/** Checks the values of a gateway's settings whose shape is right. */
internal object GatewaySettingsRules {
    private const val PEER_PORTS = 2
    private const val SCHEME = "http://"
    private val PORTS = 1..65_535

    /** One line for each fault, none if the settings can be used. */
    fun check(settings: GatewaySettings): List<String> =
        listOfNotNull(
            address("caller_address", settings.callerAddress),
            address("readiness_address", settings.readinessAddress),
            url("platform_url", settings.platformUrl),
            settings.dutyUrl?.let { url("duty_url", it) },
            fault("vm_id", settings.vmId.value.isBlank(), "must not be empty"),
            fault("failure_domain", settings.failureDomain.value.isBlank(), "must not be empty"),
            fault(
                "peer_ports",
                !validPorts(settings.peerPorts),
                "${settings.peerPorts} is not a first and a last port",
            ),
            fault("metrics_port", settings.metricsPort !in PORTS, "${settings.metricsPort} is not a port"),
        ) +
            listOf(
                "stop_seconds" to settings.stopSeconds,
                "retry_window_seconds" to settings.retryWindowSeconds,
                "lease_seconds" to settings.leaseSeconds,
                "usage_window_seconds" to settings.usageWindowSeconds,
                "usage_due_seconds" to settings.usageDueSeconds,
                "configuration_seconds" to settings.configurationSeconds,
            ).mapNotNull { (field, value) -> fault(field, value <= 0, "$value is not above 0") } +
            listOf("retry_ratio" to settings.retryRatio, "retry_spare" to settings.retrySpare)
                .mapNotNull { (field, value) -> fault(field, value < 0, "$value is below 0") }

    private fun validPorts(ports: List<Int>): Boolean =
        ports.size == PEER_PORTS && ports.all { it in PORTS } && ports.first() <= ports.last()

    private fun address(
        field: String,
        value: String,
    ): String? = fault(field, SocketAddress.parse(value) == null, "\"$value\" is not of the form ip:port")

    private fun url(
        field: String,
        value: String,
    ): String? {
        val valid = value.startsWith(SCHEME) && SocketAddress.parse(value.removePrefix(SCHEME)) != null
        return fault(field, !valid, "\"$value\" is not of the form http://ip:port")
    }

    private fun fault(
        field: String,
        found: Boolean,
        message: String,
    ): String? = if (found) "/$field: $message" else null
}
