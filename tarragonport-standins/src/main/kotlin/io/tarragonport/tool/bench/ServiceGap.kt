package io.tarragonport.tool.bench

/** Longest time in which a class had outstanding requests but none started or received a token, over all VMs. */
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
        close(seconds)
        gapStart = seconds
    }

    /** A request completed; without other outstanding requests the class is idle. */
    fun completed(seconds: Double) {
        close(seconds)
        outstanding--
        if (outstanding == 0) gapStart = IDLE
    }

    /** A request failed or was refused: its demand was not served, so the gap continues until the next service. */
    fun failed() {
        outstanding--
    }

    fun close(seconds: Double) {
        if (gapStart != IDLE) longest = maxOf(longest, seconds - gapStart)
    }

    private companion object {
        const val IDLE = -1.0
    }
}
