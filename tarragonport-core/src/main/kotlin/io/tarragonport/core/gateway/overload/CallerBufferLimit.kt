package io.tarragonport.core.gateway.overload

/**
 * The number of bytes that all callers together may have in a process: of requests that arrive, wait or are served, and
 * of responses that were not read.
 */
object CallerBufferLimit {
    /** Part of the heap; the rest is for connections, servers and the control thread. */
    private const val HEAP_SHARE = 0.25

    /** Part of the direct memory, of which a body takes its size again while it is written to a server. */
    private const val DIRECT_SHARE = 0.5

    /** Two of the largest bodies, so that a single request within the limits is served however small the process is. */
    private const val LARGEST_BODIES = 2

    /** The limit for a process with [heapBytes] and [directBytes], whose callers may send bodies of [bodyBytes]. */
    fun of(
        heapBytes: Long,
        directBytes: Long,
        bodyBytes: Int,
    ): Long =
        maxOf(
            minOf((heapBytes * HEAP_SHARE).toLong(), (directBytes * DIRECT_SHARE).toLong()),
            bodyBytes.toLong() * LARGEST_BODIES,
        )
}
