package io.tarragonport.core.routing

import com.google.common.hash.Hashing

/** Rendezvous hashing: all VMs rank the same servers in the same order for the same key. */
internal object RendezvousHash {
    fun of(text: String): Long = Hashing.murmur3_128().hashUnencodedChars(text).asLong()

    /** Weight of a server for a key, both given as hashes; the highest weight wins. */
    fun weight(
        key: Long,
        server: Long,
    ): Long {
        var mixed = key xor (server * GOLDEN_RATIO)
        mixed = (mixed xor (mixed ushr 30)) * FIRST_FACTOR
        mixed = (mixed xor (mixed ushr 27)) * SECOND_FACTOR
        return mixed xor (mixed ushr 31)
    }

    // The finaliser of SplitMix64, which is cheaper than a digest for each pair of key and server.
    private const val GOLDEN_RATIO = -0x61c8864680b583ebL
    private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
    private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
}
