package io.tarragonport.tool.bench

/** Measures the longest time in which, over all VMs, no outstanding request of a class started or received a token. */
class ServiceGap {
    private var outstanding = 0
    private var gapStart = IDLE

    var longest: Double = 0.0
        private set

    fun arrived(seconds: Double) {
        outstanding++
        if (gapStart == IDLE) gapStart = seconds
    }

    fun served(seconds: Double) {
        recordGap(seconds)
        gapStart = seconds
    }

    /** A request completed; without other outstanding requests the class is idle. */
    fun completed(seconds: Double) {
        recordGap(seconds)
        outstanding--
        if (outstanding == 0) gapStart = IDLE
    }

    /** A request failed or was refused. Its demand was not served, so the gap continues until the next service. */
    fun failed() {
        outstanding--
    }

    /** Records the gap up to [seconds] without ending it. */
    fun recordGap(seconds: Double) {
        if (gapStart != IDLE) longest = maxOf(longest, seconds - gapStart)
    }

    private companion object {
        const val IDLE = -1.0
    }
}
