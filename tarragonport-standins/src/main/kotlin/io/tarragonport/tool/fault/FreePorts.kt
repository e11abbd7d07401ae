package io.tarragonport.tool.fault

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom

/**
 * Allocates free ports below the ephemeral range. The operating system could give a port of that range to an outgoing
 * connection while the process that listens on it is down.
 */
internal object FreePorts {
    // Above the usual fixed ports of other programs, below the ephemeral range of Linux (from 32,768).
    private const val LOWEST_PORT = 20_000
    private const val HIGHEST_PORT = 30_000
    private val allocated = ConcurrentHashMap.newKeySet<Int>()

    /** A port that is free at the time of the call and that this process has not allocated before. */
    fun next(): Int =
        generateSequence { ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT) }
            .first { allocated.add(it) && isFree(it) }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
