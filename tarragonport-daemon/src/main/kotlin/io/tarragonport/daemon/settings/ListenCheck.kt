package io.tarragonport.daemon.settings

import io.tarragonport.api.settings.ProcessSettings
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Checks at startup whether the process can listen on the addresses in its settings.
 *
 * The servers bind on their own threads, where a failure would surface as a stack trace or be retried forever. With
 * this check an operator gets one line per address that cannot be bound.
 */
object ListenCheck {
    private const val BACKLOG = 1

    /** One line per address on which the process cannot listen; empty if it can listen on all. */
    fun faults(settings: ProcessSettings): List<String> =
        listOf("caller_address" to settings.callerAddress, "peer_address" to settings.peerAddress)
            .mapNotNull { (field, address) -> fault(address)?.let { "$field: cannot listen on $address: $it" } }

    private fun fault(address: String): String? {
        val parsed = SocketAddress.parse(address) ?: return "not an address of the form ip:port"
        return try {
            ServerSocket(parsed.port, BACKLOG, InetAddress.getByName(parsed.host)).use { null }
        } catch (exception: IOException) {
            exception.message ?: exception.javaClass.simpleName
        }
    }
}
