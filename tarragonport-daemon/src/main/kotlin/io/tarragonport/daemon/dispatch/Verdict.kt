package io.tarragonport.daemon.dispatch

/** Result of validating a chunk. */
sealed interface Verdict {
    /** The chunk is the next part of the response. */
    data object Deliver : Verdict

    /** The chunk repeats a part that was already received. */
    data object Drop : Verdict

    /** The chunk does not belong to the response; the rest of the stream must not be used. */
    data class Violation(
        val reason: String,
    ) : Verdict
}
