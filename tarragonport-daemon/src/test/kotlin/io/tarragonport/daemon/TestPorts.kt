package io.tarragonport.daemon

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Allocates ports that stay free until a test binds them.
 *
 * Ports assigned by the system come from the ephemeral range: once released, they can be reassigned to an outgoing
 * connection of this or another test process. These ports lie below that range, and each process has its own block.
 */
internal object TestPorts {
    private const val LOWEST = 20_000
    private const val PORTS_PER_PROCESS = 100
    private const val PROCESSES = 100
    private val firstPort = LOWEST + (ProcessHandle.current().pid() % PROCESSES).toInt() * PORTS_PER_PROCESS
    private val allocated = AtomicInteger()

    fun next(): Int =
        generateSequence { firstPort + allocated.getAndIncrement() }
            .take(PORTS_PER_PROCESS)
            .first(::isFree)

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
