package io.tarragonport.core.gateway.overload

/**
 * Limits the total of the bytes that all holders buffer to [limitBytes]; used by one thread.
 *
 * Limits of the single holders do not bound their sum. If the sum exceeds the limit, the holder with the most bytes
 * among those that can gives them up, so that small responses and requests are not affected by large ones.
 */
class BufferBudget(
    private val limitBytes: Long,
) {
    private class Held(
        val bytes: Int,
        val yields: Boolean,
    )

    private val held = HashMap<BufferHolder, Held>()

    /** Bytes that all holders buffer. */
    var total = 0L
        private set

    /**
     * Sets the number of bytes that [holder] buffers; holders, which may include this one, are told to discard theirs. A
     * holder that does not [yields] counts, but keeps its bytes.
     */
    fun update(
        holder: BufferHolder,
        bytes: Int,
        yields: Boolean = true,
    ) {
        val before = if (bytes == 0) held.remove(holder) else held.put(holder, Held(bytes, yields))
        total += bytes - (before?.bytes ?: 0)
        while (total > limitBytes) {
            val largest = held.entries.filter { it.value.yields }.maxByOrNull { it.value.bytes } ?: return
            update(largest.key, 0)
            largest.key.discardBuffered()
        }
    }
}
