package io.tarragonport.daemon.settings

import io.tarragonport.api.settings.GatewaySettings

/** Checks the values of gateway settings that have been parsed. */
internal object GatewaySettingsRules {
    private const val PEER_PORT_COUNT = 2
    private const val SCHEME = "http://"
    private val VALID_PORTS = 1..65_535

    /** One line per fault; empty if the settings are valid. */
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
                "${settings.peerPorts} must be a first and a last port",
            ),
            fault("metrics_port", settings.metricsPort !in VALID_PORTS, "${settings.metricsPort} is not a valid port"),
        ) +
            listOf(
                "stop_seconds" to settings.stopSeconds,
                "retry_window_seconds" to settings.retryWindowSeconds,
                "lease_seconds" to settings.leaseSeconds,
                "usage_window_seconds" to settings.usageWindowSeconds,
                "usage_due_seconds" to settings.usageDueSeconds,
                "configuration_seconds" to settings.configurationSeconds,
            ).mapNotNull { (field, value) -> fault(field, value <= 0, "$value must be greater than 0") } +
            listOf("retry_ratio" to settings.retryRatio, "retry_spare" to settings.retrySpare)
                .mapNotNull { (field, value) -> fault(field, value < 0, "$value must not be negative") }

    private fun validPorts(ports: List<Int>): Boolean =
        ports.size == PEER_PORT_COUNT && ports.all { it in VALID_PORTS } && ports.first() <= ports.last()

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
        invalid: Boolean,
        message: String,
    ): String? = if (invalid) "/$field: $message" else null
}
