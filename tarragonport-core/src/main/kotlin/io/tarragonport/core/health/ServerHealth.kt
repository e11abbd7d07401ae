package io.tarragonport.core.health

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Observed speed of one server and whether it is ejected. */
class ServerHealth {
    internal val betweenTokens = RecentSamples()
    internal val firstToken = RecentSamples()
    internal var lastProgress: ComparableTimeMark? = null
    internal var ejectedUntil: ComparableTimeMark? = null
    internal var backoff: Duration = Duration.ZERO

    /** An ejected server gets no requests except one probe at a time after its backoff. */
    var ejected: Boolean = false
        internal set

    /** Whether a probe request is in flight. */
    var probing: Boolean = false
        internal set

    internal fun clearSamples() {
        betweenTokens.clear()
        firstToken.clear()
    }
}
