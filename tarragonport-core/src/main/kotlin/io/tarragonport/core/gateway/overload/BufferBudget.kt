package io.tarragonport.core.gateway.overload

/**
 * Limits the total of the bytes that all holders buffer to [limitBytes]; used by one thread.
 *
 * Limits of the single holders do not bound their sum. If the sum exceeds the limit, the holder with the most bytes
 * gives them up, so that small responses of sound servers are not affected by those of a faulty one.
 */
class BufferBudget(
    private val limitBytes: Long,
) {
    private val held = HashMap<BufferHolder, Int>()

    /** Bytes that all holders buffer. */
    var total = 0L
        private set

    /** Sets the number of bytes that [holder] buffers; holders, which may include this one, are told to discard theirs. */
    fun update(
        holder: BufferHolder,
        bytes: Int,
    ) {
        val before = if (bytes == 0) held.remove(holder) else held.put(holder, bytes)
        total += bytes - (before ?: 0)
        while (total > limitBytes) {
            val largest = held.maxBy { it.value }.key
            update(largest, 0)
            largest.discardBuffered()
        }
    }
}
