package io.tarragonport.core.admission

/**
 * Order of requests of one organisation and class: requests that resume an earlier attempt first, then by start
 * deadline, then by arrival.
 */
internal data class StartKey(
    val resumed: Boolean,
    val startDeadline: Long,
    val sequence: Long,
) : Comparable<StartKey> {
    override fun compareTo(other: StartKey): Int {
        val byResumption = other.resumed.compareTo(resumed)
        if (byResumption != 0) return byResumption
        val byDeadline = startDeadline.compareTo(other.startDeadline)
        return if (byDeadline != 0) byDeadline else sequence.compareTo(other.sequence)
    }
}
