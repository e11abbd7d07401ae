package io.tarragonport.core.membership

import com.google.common.hash.Hashing
import io.tarragonport.api.id.VmId

/**
 * Rendezvous hashing: every VM that sees the same candidates chooses the same ones for a subject, and a change of the
 * candidates moves only the subjects of those that changed.
 */
object RendezvousSelection {
    /** The [count] candidates with the highest weight for [subject]. */
    fun choose(
        subject: String,
        candidates: Collection<VmId>,
        count: Int,
    ): List<VmId> =
        candidates
            .sortedWith(compareByDescending<VmId> { weight(subject, it) }.thenBy { it.value })
            .take(count)

    /** The candidate with the highest weight for [subject], null if there are no candidates. */
    fun choose(
        subject: String,
        candidates: Collection<VmId>,
    ): VmId? = candidates.maxWithOrNull(compareBy<VmId> { weight(subject, it) }.thenByDescending { it.value })

    private fun weight(
        subject: String,
        candidate: VmId,
    ): Long {
        val hasher = Hashing.murmur3_128().newHasher()
        hasher.putString(subject, Charsets.UTF_8)
        hasher.putByte(0)
        hasher.putString(candidate.value, Charsets.UTF_8)
        return hasher.hash().asLong()
    }
}
