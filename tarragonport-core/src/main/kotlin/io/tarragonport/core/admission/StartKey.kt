package io.tarragonport.core.admission

/**
 * Order of requests of one organisation and class: requests that continue an earlier attempt first, then by start
 * deadline, then by arrival.
 */
internal data class StartKey(
    val continued: Boolean,
    val startDeadline: Long,
    val sequence: Long,
) : Comparable<StartKey> {
    override fun compareTo(other: StartKey): Int {
        val byContinuation = other.continued.compareTo(continued)
        if (byContinuation != 0) return byContinuation
        val byDeadline = startDeadline.compareTo(other.startDeadline)
        return if (byDeadline != 0) byDeadline else sequence.compareTo(other.sequence)
    }
}
