package io.tarragonport.core.health

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Ejects servers of one pool that are much slower than the others and readmits them after successful probes.
 *
 * A server is a straggler if the median of its recent samples is at least three times the pool's median, or if it has
 * requests in flight and produced no token for [SILENCE_TIMEOUT]. At most 30% of the pool is ejected, so that a general
 * slowdown does not empty it.
 */
class StragglerDetector(
    private val clock: TimeSource.WithComparableMarks,
) {
    fun tokenObserved(
        server: ServerHealth,
        gapMs: Double,
    ) {
        server.betweenTokens.record(gapMs)
        server.lastProgress = clock.markNow()
    }

    /** Records a first token after [waitMs] for [uncachedTokens] prompt tokens. */
    fun firstTokenObserved(
        server: ServerHealth,
        waitMs: Double,
        uncachedTokens: Int,
    ) {
        server.firstToken.record(waitMs / (uncachedTokens + FIXED_COST_TOKENS))
        server.lastProgress = clock.markNow()
    }

    /** Records that a request was sent; if the server was idle, the silence timeout starts now. */
    fun started(
        server: ServerHealth,
        idleBefore: Boolean,
    ) {
        if (idleBefore) server.lastProgress = clock.markNow()
        if (server.ejected) {
            server.probing = true
            server.clearSamples()
        }
    }

    /**
     * Whether the ejected [server] may get a probe now. A request that can resume on another server ([resumable]) is a
     * probe as soon as the backoff has ended, because it survives a failed probe. Any other request is one only after a
     * further delay, so that servers of pools without resumable requests are readmitted as well.
     */
    fun mayProbe(
        server: ServerHealth,
        resumable: Boolean,
    ): Boolean {
        val until = server.ejectedUntil ?: return false
        val delay = if (resumable) Duration.ZERO else NON_RESUMABLE_PROBE_DELAY
        return !server.probing && until + delay <= clock.markNow()
    }

    /** Ejects [server], which failed a request, unless the maximum share of [pool] is already ejected. */
    fun failed(
        server: ServerHealth,
        pool: Collection<ServerHealth>,
    ) {
        if (!server.ejected && ejectionsAllowed(pool) > 0) eject(server)
    }

    /** A probe request ended; [succeeded] is set if its response was complete. */
    fun probeEnded(
        server: ServerHealth,
        pool: Collection<ServerHealth>,
        succeeded: Boolean,
    ) {
        if (!server.ejected || !server.probing) return
        server.probing = false
        val medianGap = medianGap(pool)
        val fast = medianGap == 0.0 || server.betweenTokens.median() < medianGap * READMISSION_FACTOR
        if (succeeded && fast) readmit(server) else eject(server)
    }

    /**
     * Ejects the stragglers among [pool], slowest first, and returns them; [hasWork] determines whether a server runs
     * requests of this VM.
     */
    fun evaluate(
        pool: Collection<ServerHealth>,
        hasWork: (ServerHealth) -> Boolean,
    ): List<ServerHealth> {
        val medianGap = medianGap(pool)
        val medianFirstToken = medianOf(pool.filter { it.firstToken.isFull }.map { it.firstToken.median() })
        val ejectionsAllowed = ejectionsAllowed(pool)
        if (ejectionsAllowed <= 0) return emptyList()
        val stragglers =
            pool
                .filter { !it.ejected }
                .map { it to slowness(it, medianGap, medianFirstToken, hasWork(it)) }
                .filter { it.second >= STRAGGLER_FACTOR }
                .sortedByDescending { it.second }
                .take(ejectionsAllowed)
                .map { it.first }
        stragglers.forEach { eject(it) }
        return stragglers
    }

    private fun ejectionsAllowed(pool: Collection<ServerHealth>): Int =
        (pool.size * MAXIMUM_EJECTED_SHARE).toInt() - pool.count { it.ejected }

    private fun slowness(
        server: ServerHealth,
        medianGap: Double,
        medianFirstToken: Double,
        hasWork: Boolean,
    ): Double {
        if (hasWork && isSilent(server) && medianGap > 0.0) return Double.MAX_VALUE
        val gapRatio =
            if (server.betweenTokens.isFull &&
                medianGap > 0.0
            ) {
                server.betweenTokens.median() / medianGap
            } else {
                0.0
            }
        val firstRatio =
            if (server.firstToken.isFull &&
                medianFirstToken > 0.0
            ) {
                server.firstToken.median() / medianFirstToken
            } else {
                0.0
            }
        return maxOf(gapRatio, firstRatio)
    }

    private fun isSilent(server: ServerHealth): Boolean {
        val last = server.lastProgress ?: return false
        return last.elapsedNow() > SILENCE_TIMEOUT
    }

    private fun medianGap(pool: Collection<ServerHealth>): Double =
        medianOf(pool.filter { it.betweenTokens.isFull && !it.ejected }.map { it.betweenTokens.median() })

    private fun medianOf(values: List<Double>): Double =
        if (values.size < MINIMUM_SERVERS) 0.0 else values.sorted()[(values.size - 1) / 2]

    private fun eject(server: ServerHealth) {
        server.backoff = (server.backoff * 2).coerceIn(FIRST_BACKOFF, LONGEST_BACKOFF)
        server.ejected = true
        server.ejectedUntil = clock.markNow() + server.backoff
    }

    private fun readmit(server: ServerHealth) {
        server.ejected = false
        server.ejectedUntil = null
        server.backoff = server.backoff / 2
        server.clearSamples()
    }

    /** Time until the next probe of [server] is allowed. */
    fun remainingBackoff(server: ServerHealth): Duration {
        val until = server.ejectedUntil ?: return Duration.ZERO
        return (until - clock.markNow()).coerceAtLeast(Duration.ZERO)
    }

    companion object {
        const val STRAGGLER_FACTOR = 3.0
        const val MAXIMUM_EJECTED_SHARE = 0.3

        /** Clearly below the straggler factor, so that a readmitted server is not ejected again at once. */
        private const val READMISSION_FACTOR = 2.0

        /** With fewer servers the median does not show which of them is slow. */
        private const val MINIMUM_SERVERS = 3

        /**
         * Cost of a first token that does not depend on the prompt, as a number of prompt tokens. It makes short
         * prompts comparable with long ones.
         */
        private const val FIXED_COST_TOKENS = 500

        /** A working engine produces tokens several times per second. */
        private val SILENCE_TIMEOUT = 3.seconds
        private val NON_RESUMABLE_PROBE_DELAY = 5.seconds
        private val FIRST_BACKOFF = 5.seconds
        private val LONGEST_BACKOFF = 80.seconds
    }
}
