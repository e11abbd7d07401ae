package io.tarragonport.daemon.settings

/** An address of the form `ip:port`; IPv6 addresses are enclosed in brackets. */
data class SocketAddress(
    val host: String,
    val port: Int,
) {
    companion object {
        private const val MAXIMUM_PORT = 65_535
        private val PATTERN = Regex("""(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+]):(\d{1,5})""")

        /** Parses [text]; null if it is not a numeric address with a valid port. */
        fun parse(text: String): SocketAddress? {
            val match = PATTERN.matchEntire(text) ?: return null
            val (host, port) = match.destructured
            return SocketAddress(host, port.toInt()).takeIf { it.port in 1..MAXIMUM_PORT }
        }
    }
}
